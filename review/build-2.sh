#!/bin/sh
# Builds the scripts of cases 6 to 10, with all stand-ins that they start, into target/review-2.
set -e
cd "$(dirname "$0")/.."
for script in review/6/play.ts review/7/play.ts review/8/play.ts review/9/play.ts review/10/play.ts; do
  [ -f "$script" ] || continue
  number=$(basename "$(dirname "$script")")
  node_modules/.bin/esbuild "$script" --bundle --platform=node --target=node20 --format=cjs --conditions=source \
    --outfile="target/review-2/$number.cjs" --log-level=warning
done
