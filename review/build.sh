#!/usr/bin/env bash
# Builds the programs of the cases, which hold their stand-ins; run.sh of each case starts one of them.
set -euo pipefail
cd "$(dirname "$0")"
for folder in [0-9]*/; do
  if [ -f "$folder/main.go" ]; then
    GOWORK=off go build -o "../target/review/case${folder%/}" "./$folder"
  fi
done
