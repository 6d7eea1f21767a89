#!/bin/sh
# Builds the stand-ins that the scripts of the second review start (review/6 to review/10), after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/standin-2 ./review/_standin-2
