#!/bin/sh
# Builds the stand-ins of the scripts: Python of the standard library, so that
# it is only checked that every file compiles. Run from any folder.
set -eu
cd "$(dirname "$0")"
for file in standins/*.py [0-9]*/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
