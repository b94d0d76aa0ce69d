#!/bin/sh
# Builds the stand-ins of the scripts. They are Python without dependencies, so it only
# checks that this machine's Python can load them.
cd "$(dirname "$0")" || exit 1
PYTHONDONTWRITEBYTECODE=1 exec python3 -c "import harness.deployment"
