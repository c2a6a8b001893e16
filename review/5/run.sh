#!/usr/bin/env bash
# Plays the case with stand-ins; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-harness new-machine review/5
