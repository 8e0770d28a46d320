#!/bin/bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0
# if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/almondwind ] && [ -x target/review/idle_timeout_cuts_answers ] || exit 2
exec target/review/idle_timeout_cuts_answers review/more/idle_timeout_cuts_answers/record.txt
