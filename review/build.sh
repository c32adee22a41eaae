#!/bin/sh
# Builds the stand-ins and drivers that the cases start, into review/bin. Needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/ ./review/...
