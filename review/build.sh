#!/usr/bin/env bash
# Builds the stand-ins of all cases: one program, target/review/world. The system itself is
# built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
exec go build -ldflags=-linkmode=external -o target/review/world ./review/_world/platform
