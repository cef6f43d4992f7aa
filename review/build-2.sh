#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 and 7 start. They are plain modules without dependencies, so this checks that each can be loaded.
set -e
cd "$(dirname "$0")"
for file in standins/*.mjs [67]/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
test -e ../target/wasabireel.cjs || { echo 'the build of the deploy file comes first' >&2; exit 1; }
