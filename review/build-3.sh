#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases of the third review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review3
go build -o target/review3/drill ./review/drill
