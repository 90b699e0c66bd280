#!/usr/bin/env bash
# Regenerates the static protobuf codecs; the output is committed.
set -euo pipefail
cd "$(dirname "$0")/../packages"

# Arguments: the package, the name of its .proto file, further options of pbjs.
generate() {
	local package=$1 name=$2
	npx pbjs -t static-module -w es6 --es6 --no-service --no-create --no-verify --no-delimited "${@:3}" \
		--import-extension .js -o "$package/generated/$name.js" "$package/proto/$name.proto"
	npx pbts -o "$package/generated/$name.d.ts" "$package/generated/$name.js"
}

generate peers peers
generate entry digest --no-convert --root entry
