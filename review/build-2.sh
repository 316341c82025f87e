#!/usr/bin/env bash
# Builds the program that plays the scripted cases of the second review. It has all stand-ins that
# they start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2 ./review/harness2
