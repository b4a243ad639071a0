#!/bin/sh
# The stand-ins that the scripts start are plain Node.js modules in review/.
# They have no dependency and need no build; the entry host is built by the
# command of the deploy file.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib/*.mjs review/[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
