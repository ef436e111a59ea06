#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# Needs the builds of the deploy file and of review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/cranberrylock-router ] || [ ! -x target/review/standin ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
exec target/review/standin reader-restarts review/2
