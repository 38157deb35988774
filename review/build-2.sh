#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. The build of the deploy file makes the program itself.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/stand2 ./review/stand2
