#!/usr/bin/env bash
# Exits with 1 if the rule was broken, with 0 if it held and with 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/magnoliaworks ] && [ -x target/review-2 ] || exit 2
exec timeout -k 2 118 target/review-2 removed review/8/record.txt
