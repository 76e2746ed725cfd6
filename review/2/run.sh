#!/usr/bin/env bash
# Exits with 1 if a pass began with two maps, with 0 if none did, and with 2 if
# the case could not run. TROUBLE=0 leaves the late orders and the kill out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
[ -x target/review/late_go ] && [ -x target/bin/greengagespar-endpoint ] || exit 2
timeout -s TERM 115 target/review/late_go target/bin/greengagespar-entry \
  target/bin/greengagespar-endpoint "$folder" "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
