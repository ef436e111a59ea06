#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, after the build of the deploy file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/second/platform"
go build -o ../../../target/review-2/standins .
