#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and later start.
set -euo pipefail
cd "$(dirname "$0")/harness-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS= go build -buildvcs=false -o ../../target/review-2/harness2 .
