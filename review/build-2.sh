#!/bin/sh
# Prepares the scripts of review/6 to review/10. Run it in the repository after the
# build of the deploy file; it needs no network. Their stand-ins are plain JavaScript
# in review/lib-2, so there is nothing to compile: it checks what the scripts start.
cd "$(dirname "$0")/.." || exit 2
if [ ! -f target/parsleyvaled.mjs ]; then
	echo "target/parsleyvaled.mjs is missing: run the build of the deploy file first" >&2
	exit 2
fi

for file in review/lib-2/*.js review/[6-9]/case.js review/10/case.js; do
	if [ -f "$file" ]; then
		node --check "$file" || exit 2
	fi
done
