#!/usr/bin/env bash
# LOST: requests that wait for a slot at another machine when their daemon stops. Exits with 1
# if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the
# SIGTERM.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/coltsfootd ] && [ -x target/standin-2 ] || { echo "build the deploy file and review/build-2.sh first"; exit 2; }
exec target/standin-2 queued review/7/record.txt
