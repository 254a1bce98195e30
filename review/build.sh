#!/bin/sh
# The stand-ins use the standard library only; this checks that they can be loaded.
set -eu
cd "$(dirname "$0")"
python3 -B -c "import harness"
