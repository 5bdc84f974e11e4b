#!/bin/sh
# The stand-ins need only Python's standard library; this checks that they
# compile.
cd "$(dirname "$0")" || exit 1
exec python3 -m py_compile standins.py [0-9]/case.py
