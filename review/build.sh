#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../target/review-case ./standin
