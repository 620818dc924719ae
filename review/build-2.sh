#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review, review/6 and review/7.
# The daemon is built by the build line of deploy/system.toml before.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
GOTOOLCHAIN=local GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-2 .
