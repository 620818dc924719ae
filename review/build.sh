#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOWORK=off go build -buildvcs=false -o ../../target/review-standins .
