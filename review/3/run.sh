#!/usr/bin/env bash
# Plays the case with stand-ins; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
trouble="${TROUBLE:-1}"
TROUBLE="$trouble" exec target/review-harness restarted-worker review/3
