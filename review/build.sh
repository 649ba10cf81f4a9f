#!/usr/bin/env bash
# Builds the stand-ins of all scripts of the review. The daemon is built by the build
# line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
