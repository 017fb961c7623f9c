#!/bin/bash
# Builds every stand-in that the scripts of review/11 to review/15 start, and
# the scripts themselves, into build/review/.
set -e
cd "$(dirname "$0")/.."
rm -f build/review/.tsbuildinfo
npx tsc -p review/tsconfig.json
