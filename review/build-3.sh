#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. It needs the standard library of Go only.
set -euo pipefail
cd "$(dirname "$0")/rig-3"
mkdir -p ../../target
go build -o ../../target/rig-3 .
