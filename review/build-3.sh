#!/usr/bin/env bash
# Builds the programs that the scripts of the third review start, beside the router, into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3/ ./review/third/...
