#!/usr/bin/env bash
# Plays the case on loopback; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
trouble=1
if [ "${TROUBLE:-1}" = 0 ]; then trouble=0; fi
[ -x target/hibiscusroute ] && [ -x target/review-2/rig ] || { echo "build the deploy file and review/build-2.sh first"; exit 2; }
exec target/review-2/rig dark-voter target/hibiscusroute review/6/record.txt "$trouble"
