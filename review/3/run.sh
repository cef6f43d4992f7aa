#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
# Exits with 1 only if the record says that the rule was broken, with 0 only if it says that it held, and with 2 otherwise.
cd "$(dirname "$0")"
rm -f record.txt
timeout 118 node case.mjs
if grep -qs 'RESULT broken' record.txt; then exit 1; fi
if grep -qs 'RESULT held' record.txt; then exit 0; fi
exit 2
