#!/bin/sh
# Builds the scripts of the cases and their stand-ins into build/review/.
set -e
cd "$(dirname "$0")/.."
npx tsc -p review/tsconfig.json
