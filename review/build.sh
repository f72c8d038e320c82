#!/usr/bin/env bash
# Builds the scripts of the cases with all stand-ins that they start, to target/review/. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
for script in review/[1-5]/case.ts; do
  [ -f "$script" ] || continue
  number=$(basename "$(dirname "$script")")
  node_modules/.bin/esbuild "$script" --bundle --platform=node --target=node20 --format=cjs --conditions=source \
    --outfile="target/review/$number.cjs" --log-level=warning
done
