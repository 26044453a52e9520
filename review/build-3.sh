#!/bin/sh
# Builds the program of the script cases 11 to 15: their driver and all stand-ins.
set -eu
cd "$(dirname "$0")/harness-3"
mkdir -p ../../target
GOWORK=off CGO_ENABLED=0 go build -o ../../target/review3 .
