#!/bin/bash
# Builds the programs that the cases of the second review start, beside those of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/edgekit/bin
for play in review/[6-9]/play review/10/play; do
	[ -d "$play" ] || continue
	number=${play#review/}
	go build -o "review/edgekit/bin/case${number%/play}" "./$play"
done
