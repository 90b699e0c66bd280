#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
timeout -k 3 115 node case.js
code=$?
if [ "$code" -gt 1 ]; then
	exit 2
fi

exit "$code"
