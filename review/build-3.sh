#!/bin/sh
# Builds the stand-ins of the third review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review3 ./review/stand3
