#!/usr/bin/env bash
# Runs one case. usage: run-case.sh N. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")"
n=$1
if [ ! -x "bin/case-$n" ] || [ ! -x ../target/entry ]; then
  echo "build first: the build line of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
exec "bin/case-$n" -entry ../target/entry -record "$n/record.txt"
