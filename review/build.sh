#!/bin/sh
# Builds the stand-ins of the cases. Needs Go alone, no network.
set -eu
cd "$(dirname "$0")/stand"
mkdir -p ../bin
GOFLAGS="${GOFLAGS:-}" GOPROXY=off go build -buildvcs=false -o ../bin/stand .
