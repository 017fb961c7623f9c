#!/bin/bash
# Builds the stand-ins and the scenarios of the cases 6 to 10, and what they use
# of the project's own stand-ins, into build/review-2. Needs the packages that the
# build of the deploy file installs.
set -e
cd "$(dirname "$0")/.."
for settings in review/stand_ins_2 review/[6-9] review/10; do
  npx tsc -p "$settings/tsconfig.json"
done
