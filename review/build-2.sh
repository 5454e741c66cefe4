#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/stage ./review/stage-2
