#!/usr/bin/env bash
# Plays one case of the review from the root of the repository, after the build of the
# deploy file and review/build.sh. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/kumquathitch-entry ] || [ ! -x target/review-case ]; then
  echo "build the program of the deploy file and run review/build.sh first" >&2
  exit 2
fi
exec target/review-case limit-after-lapse "$here/record.txt"
