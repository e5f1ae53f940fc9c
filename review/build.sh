#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. It needs no network after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for folder in review/cmd/*/; do
	go build -buildvcs=false -o review/bin/ "./$folder"
done
