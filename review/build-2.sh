#!/bin/sh
# Builds the stand-ins of the second review's scripts, from the root of the repository.
set -eu
cd "$(dirname "$0")/.."
go vet ./review/_standin2
go build -o .bin/review-standin2 ./review/_standin2
