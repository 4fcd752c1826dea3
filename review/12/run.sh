#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/egretroad ] && [ -x target/standins3 ] || exit 2
exec target/standins3 -case join -record review/12/record.txt
