#!/usr/bin/env bash
# Runs this case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$root" exec python3 "$here/run.py"
