#!/bin/bash
# Plays what REPORT.md says of this entry of KNOWN-RED.txt, and writes
# record.txt. Exit codes and TROUBLE as for the cases; this is none.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/almondwind ] && [ -x target/review/entry ] || exit 2
exec target/review/entry review/entries/stop_cuts_waiting_request/record.txt
