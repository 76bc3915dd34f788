#!/usr/bin/env bash
# Checks that the stand-ins of the cases can start; they need Python's standard library only.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -c "
import sys

if sys.version_info < (3, 11):
    sys.exit('the stand-ins need Python 3.11 or later')
import review.lib.calls, review.lib.case, review.lib.deployment, review.lib.endless
"
echo "the stand-ins are ready"
