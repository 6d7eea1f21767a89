#!/bin/sh
# Plays case 9 of the second review. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
test -x bin/standin-2 && test -x bin/indigodrift || { echo "build first: the deploy file, then review/build-2.sh"; exit 2; }
exec bin/standin-2 announced "$folder"
