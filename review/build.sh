#!/bin/sh
# The stand-ins are plain JavaScript without dependencies; checks that they and the program are there.
set -e
cd "$(dirname "$0")"
test -f ../target/parsleyvaled.mjs
for file in lib/*.mjs */case.mjs; do
	node --check "$file"
done
