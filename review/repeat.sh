#!/usr/bin/env bash
# Runs a case once without its disruption and five times with it, and prints the exit codes. usage: repeat.sh N
cd "$(dirname "$0")" || exit 2
TROUBLE=0 "./$1/run.sh" >/dev/null
echo "TROUBLE=0: exit $?"
for i in 1 2 3 4 5; do
  "./$1/run.sh" >/dev/null
  echo "run $i: exit $?"
done
