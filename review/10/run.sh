#!/usr/bin/env bash
# Plays the case many-occurrences. TROUBLE=0 plays it without the trouble, SEED sets the seed of the clients.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review2 ] || { echo "run the build of the deploy file and review/build-2.sh first"; exit 2; }
timeout --kill-after=2 115 target/review2 -case many-occurrences -record review/10/record.txt -seed "${SEED:-1}"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
