#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/rig && GOFLAGS=-mod=mod GOWORK=off go build -buildvcs=false -o ../../target/review-rig .)
