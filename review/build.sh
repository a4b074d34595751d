#!/bin/sh
# The stand-ins are Python programs without dependencies, so there is nothing to compile; checks that they load.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
for file in standins/*.py [1-9]/run.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
