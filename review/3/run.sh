#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the control daemon running.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin late-evacuation review/3/record.txt
