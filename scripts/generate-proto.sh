#!/usr/bin/env bash
# Regenerates the static protobuf codecs of packages/peers; the output is committed.
set -euo pipefail
cd "$(dirname "$0")/../packages/peers"
npx pbjs -t static-module -w es6 --es6 --no-service --no-create --no-verify --no-delimited \
	--import-extension .js -o generated/peers.js proto/peers.proto
npx pbts -o generated/peers.d.ts generated/peers.js
