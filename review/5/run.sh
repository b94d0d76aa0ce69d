#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out.
TROUBLE=${TROUBLE:-1}
export TROUBLE
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec sh "$folder/../harness/run.sh" "$folder"
