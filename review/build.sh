#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. Run it after the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review/standin ./review/_standin
