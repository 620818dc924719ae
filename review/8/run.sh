#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")" || exit 2
REPOSITORY=$(cd ../.. && pwd) || exit 2
export REPOSITORY
exec "$REPOSITORY/target/review-2" leave record.txt
