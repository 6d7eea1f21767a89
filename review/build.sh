#!/bin/sh
# Builds every stand-in that the cases start, after the build of the deploy file. It needs the Go tool chain and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/_standin
mv review/bin/_standin review/bin/standin
