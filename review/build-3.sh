#!/bin/sh
# Builds the scripts of review 3, with the stand-ins that they start, into target/review-3/.
cd "$(dirname "$0")/.." || exit 2
rm -rf target/review-3
for folder in review/1[1-5]; do
  [ -f "$folder/case.ts" ] || continue
  npx esbuild "$folder/case.ts" --bundle --platform=node --target=node20 --format=cjs --conditions=source \
    --external:esbuild --log-level=warning --outfile="target/review-3/$(basename "$folder").cjs" || exit 2
done
