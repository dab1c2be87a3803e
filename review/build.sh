#!/bin/sh
# Builds the stand-ins of the scripted cases into target/.
set -eu
cd "$(dirname "$0")/standin"
go build -o ../../target/review-standin .
