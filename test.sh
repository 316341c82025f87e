#!/usr/bin/env bash
# Runs all tests with the race detector. The proofs start many processes and wait
# for leases to end, so several of them run side by side.
set -euo pipefail
cd "$(dirname "$0")"

go test -race -timeout 5m $(go list ./... | grep -v /internal/integration/)
go tool ginkgo --race --procs=4 --timeout=40m --label-filter='!known-red' ./internal/integration/proof
# The memory tests measure single processes, so they run alone, one at a time.
go test -timeout 10m -count=1 ./internal/integration/memory
