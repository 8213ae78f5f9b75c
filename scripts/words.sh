#!/usr/bin/env bash
# Checks that the platform's words stand in platform/ only: one line a word in scripts/words.txt.
# The load tool is left out: it knows no platform, and its package "runner" runs experiments.
set -euo pipefail
cd "$(dirname "$0")/.."
found=$(grep -rnEi --include='*.go' -f scripts/words.txt common entry fbctl fbstandin integration || true)
if [ -n "$found" ]; then
  echo "words of the platform outside platform/:"
  echo "$found"
  exit 1
fi
echo "no word of the platform outside platform/"
