#!/usr/bin/env bash
# Checks the stand-ins, which are Python scripts; nothing is to be compiled. The program under
# test is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9)'
for file in standins.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
