#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 2
exec python3 review/2/case.py
