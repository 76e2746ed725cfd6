#!/usr/bin/env bash
# Exits with 1 if sound requests were lost beside those with the crashing part, with
# 0 if not, and with 2 if the case could not run.
# TROUBLE=0 leaves the crashing requests out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
[ -x target/review/crash_part ] && [ -x target/bin/greengagespar-endpoint ] || exit 2
timeout -s TERM 115 target/review/crash_part target/bin/greengagespar-entry \
  target/bin/greengagespar-endpoint "$folder" "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
