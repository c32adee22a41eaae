#!/bin/sh
# Builds what the cases of the second review start, into review/bin. Run it from anywhere, after the build of the
# deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p review/bin && exec go build -tags review -o review/bin/ ./review/standins ./review/6 ./review/7 ./review/8 ./review/9 ./review/10
