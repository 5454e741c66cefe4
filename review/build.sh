#!/usr/bin/env bash
# Builds the stand-ins of the scripts. Run the build line of deploy/system.toml before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
