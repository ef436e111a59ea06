#!/usr/bin/env bash
# Builds the programs that the scripts of the third review start, beside the router, into target/review-3/. They are in a folder named platform, as a test of the
# repository allows the names of the platform in such folders only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3/ ./review/third/platform/...
