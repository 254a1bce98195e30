#!/bin/sh
# The stand-ins use the standard library only; this checks that they can be loaded.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c "import harness"
