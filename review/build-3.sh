#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases 11 to 15. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review3 ./review/harness3
