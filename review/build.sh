#!/usr/bin/env bash
# Builds the stand-ins of the cases, beside the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-standin ./review/_standin
