#!/bin/sh
# Builds the stand-ins of the scripted cases.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
