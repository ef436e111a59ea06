#!/usr/bin/env bash
# Builds the stand-ins of the cases' scripts into target/review.
set -euo pipefail
cd "$(dirname "$0")/platform"
go build -o ../../target/review/standin .
