#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The build of the deploy file comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -trimpath -tags review -o target/review-stand ./review/stand
