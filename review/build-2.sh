#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are Python and need no package;
# this compiles them and stops at the first error.
set -eu
cd "$(dirname "$0")/.."
files="$(find review/[6-9] review/10 -name '*.py' 2>/dev/null || true)"
for file in $files; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
echo "stand-ins: ok"
