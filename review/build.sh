#!/bin/bash
# Builds the stand-ins of all cases into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++17 -O2 -I. -c -o target/review/harness.o review/standins/harness.cc
for source in review/[1-5]/case.cc; do
  case=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O2 -I. -o "target/review/case$case" "$source" \
    target/review/harness.o -pthread
done
for source in review/more/*/case.cc; do
  case=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O2 -I. -o "target/review/$case" "$source" \
    target/review/harness.o -pthread
done
g++ -std=c++17 -O2 -I. -o target/review/entry \
  review/entries/stop_cuts_waiting_request/case.cc target/review/harness.o \
  -pthread
