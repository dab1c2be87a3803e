#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/standin-2 ./review/standin-2
