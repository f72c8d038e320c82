#!/bin/sh
cd "$(dirname "$0")/../.."
exec node target/review-2/10.cjs
