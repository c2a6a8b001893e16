#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases. The build of the deploy file must have run before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
