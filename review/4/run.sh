#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-standins ] && [ -x ../../target/pomelodoor ] || { echo "run the deploy file's build and review/build.sh first"; exit 2; }
exec ../../target/review-standins fractional-weight "$(cd ../.. && pwd)" "$PWD"
