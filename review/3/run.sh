#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case3 ] && [ -x target/release/vanillatrail ] || exit 2
target/review/case3 review/3/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
