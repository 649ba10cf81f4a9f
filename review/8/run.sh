#!/usr/bin/env bash
# DRAIN: requests that wait for a connection to a target that leaves. Exits with 1
# if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 the
# target doesn't leave.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/coltsfootd ] && [ -x target/standin-2 ] || { echo "build the deploy file and review/build-2.sh first"; exit 2; }
exec target/standin-2 leave review/8/record.txt
