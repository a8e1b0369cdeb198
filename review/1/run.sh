#!/usr/bin/env bash
# Plays the case. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
[ -x target/tillerd ] && [ -x target/review-stand ] || { echo "build first"; exit 2; }
exec timeout -k 5 110 target/review-stand other-service review/1/record.txt
