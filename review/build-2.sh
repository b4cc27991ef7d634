#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10: one program, target/review/cases2, which holds the
# project's own stand-ins of the store and the replicas. The system itself is built by the
# deploy file. The first part of the folder's name keeps the program out of ./... and so out of CI;
# the second is what the test of the adapter's names asks for.
set -euo pipefail
cd "$(dirname "$0")/.."
exec go build -ldflags=-linkmode=external -o target/review/cases2 ./review/_cases2/platform
