#!/bin/sh
# Review case 14: large jobs that come at once drive the owners of a pool over their memory, one after the other.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || exit 2
exec python3 case.py
