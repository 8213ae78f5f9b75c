#!/usr/bin/env bash
# Checks that platform-specific terms occur only in platform/. scripts/words.txt lists one pattern per
# line. fbload is not checked: it does not use the platform, and its package "runner", which runs
# experiments, would match.
set -euo pipefail
cd "$(dirname "$0")/.."
found=$(grep -rnEi --include='*.go' -f scripts/words.txt common entry fbctl fbstandin integration || true)
if [ -n "$found" ]; then
  echo "platform-specific terms outside platform/:"
  echo "$found"
  exit 1
fi
echo "no platform-specific terms outside platform/"
