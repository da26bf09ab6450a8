#!/usr/bin/env bash
# Check that the stand-ins of the third review, which are Python, can be imported.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/src:$PWD/target/deps:$PWD/review/stand-3"
python3 -c "import small_site, soak.site, standins.site"
