#!/bin/bash
# Runs clang-tidy on all source files and fails on any finding.
cd "$(dirname "$0")/.." || exit 2
git ls-files '*.cc' | xargs -P "$(nproc)" -n 2 clang-tidy -p "${1:-build}" \
  --quiet 2>/dev/null
