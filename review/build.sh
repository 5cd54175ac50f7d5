#!/bin/sh
# Builds the stand-ins that the scripts start: Python programs with nothing but the standard library.
set -e
cd "$(dirname "$0")"
python3 -m py_compile standins/*.py [0-9]/case.py
