#!/usr/bin/env bash
# Writes the static codecs of packages/peers anew; their result is committed.
set -euo pipefail
cd "$(dirname "$0")/../packages/peers"
npx pbjs -t static-module -w es6 --es6 --no-service --no-create --no-verify --no-delimited \
	--import-extension .js -o generated/peers.js proto/peers.proto
npx pbts -o generated/peers.d.ts generated/peers.js
