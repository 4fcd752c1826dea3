#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/egretroad ] || [ ! -x target/standins2 ]; then
    echo "build the deploy file and review/build-2.sh first"
    exit 2
fi
exec target/standins2 replica-forgotten "$PWD/target/egretroad" review/8/record.txt
