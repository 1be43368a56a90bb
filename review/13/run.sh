#!/bin/sh
# Review case 13: an owner that the store has turned away starts a work item on a restarted executor, beside the run of its successor.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || exit 2
exec python3 case.py
