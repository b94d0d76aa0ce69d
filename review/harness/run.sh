#!/bin/sh
# Plays the case of a folder: exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run.
cd "$1" || exit 2
PYTHONDONTWRITEBYTECODE=1 python3 case.py
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
