#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. The daemon is built by the
# build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin-2 ./review/standin-2
