#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 there is
# no disruption. What was sent, run and answered is in record.txt.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/cuminwick-platform ] || [ ! -x target/review-standin ]; then
  echo "run the build line of deploy/system.toml and review/build.sh first"
  exit 2
fi
exec target/review-standin late "$here/record.txt"
