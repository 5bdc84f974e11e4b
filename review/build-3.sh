#!/bin/sh
# Checks the stand-ins of the cases 11 to 15. They are Python of the standard
# library, so there is nothing to compile or install; the daemons are built by
# the build line of the deploy file.
cd "$(dirname "$0")" || exit 1
exec python3 - harness_3.py 1[1-5]/case.py <<'PYTHON'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(encoding="utf-8"), name, "exec")
PYTHON
