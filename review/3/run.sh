#!/bin/sh
# Runs this case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. It writes record.txt in this folder. The project and review/build.sh have to be built before.
cd "$(dirname "$0")" || exit 2
case=$(basename "$PWD")
[ -x ../../bin/dahliapin ] && [ -x "../bin/$case" ] || { echo "not built"; exit 2; }
timeout 110 "../bin/$case"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
