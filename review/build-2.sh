#!/bin/sh
# Prepares the stand-ins of the cases from 6 on. They are plain programs for
# Node.js without dependencies: checking that they parse is all there is to build.
cd "$(dirname "$0")" || exit 1
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
