#!/bin/bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They use the
# standard library of Python only, so that there is nothing to install; this checks that
# they compile. The processes of the system come from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
for file in review/harness2/*.py review/*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
