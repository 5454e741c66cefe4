#!/usr/bin/env bash
# Plays the case. Exit code 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
stage=target/review-2/stage
[ -x "$stage" ] && [ -x target/cuminwick-platform ] || { echo "not built: run the build of the deploy file and review/build-2.sh"; exit 2; }
exec "$stage" -case stale-list -record review/5/record.txt -root .
