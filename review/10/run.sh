#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
# Run review/build-2.sh first.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/chicorynotchd.cjs ] && [ -f target/review-2/10.cjs ] || exit 2
exec node target/review-2/10.cjs
