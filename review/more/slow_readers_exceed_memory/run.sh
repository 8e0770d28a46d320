#!/bin/bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0
# if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/almondwind ] && [ -x target/review/slow_readers_exceed_memory ] || exit 2
exec target/review/slow_readers_exceed_memory review/more/slow_readers_exceed_memory/record.txt
