#!/usr/bin/env bash
# Show that one accepted submission of 89 bytes ends the scheduling entries in turn.
set -u
cd "$(dirname "$0")/../.."
export PYTHONPATH="$PWD:$PWD/src:$PWD/target/deps:$PWD/review/stand-3"
exec timeout --signal=TERM --kill-after=5 118 python3 review/11/play.py
