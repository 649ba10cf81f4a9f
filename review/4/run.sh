#!/usr/bin/env bash
# Plays the case "drain". TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/coltsfootd ] && [ -x target/review-standin ] || exit 2
exec target/review-standin --case drain --record review/4/record.txt
