#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8: one program, which runs the stand-ins of the store, the runners and the clients.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -trimpath -o target/review-2/review2 ./review/_stand2
