#!/usr/bin/env bash
# Builds the stand-in of the script cases of the third review: platform, store, routers, endpoints and clients. The
# build of the deploy file has to run before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin3 ./review/_standin3
