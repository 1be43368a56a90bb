#!/bin/sh
# Review case 11: an owner that takes over starts work items again whose ends are on the second page of an executor's list.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || exit 2
exec python3 case.py
