#!/usr/bin/env bash
# Prepares the scripts of review/11 to review/15: their stand-ins (review/lab) are plain modules, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lab/*.mjs review/1[1-5]/*.mjs; do
  [ -e "$file" ] && node --check "$file"
done
test -e target/wasabireel.cjs || { echo 'build the deploy file first: node scripts/bundle.mjs' >&2; exit 1; }
