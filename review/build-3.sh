#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, which need Python 3.11 alone.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/harness3 review/1[1-5]
