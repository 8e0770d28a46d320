#!/bin/bash
# Fuzzes all promises with random seeds for the given time. On a failure, prints
# the command that reproduces it.
#   tools/fuzz.sh BUILD [SECONDS]
build=${1:-build}
until=$((SECONDS + ${2:-600}))
while [ $SECONDS -lt $until ]; do
  seed=$((RANDOM * 32768 + RANDOM))
  export RC_PARAMS="seed=$seed max_success=500 max_size=100"
  if ! "$build/promises_fuzz_test" >"$build/fuzz.log" 2>&1; then
    cat "$build/fuzz.log"
    echo "fuzz: failed; repeat with RC_PARAMS=\"$RC_PARAMS\" $build/promises_fuzz_test"
    exit 1
  fi
  echo "fuzz: seed $seed passed"
done
