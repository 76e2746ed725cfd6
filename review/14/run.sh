#!/usr/bin/env bash
# A part of a prompt crashes each server that gives a whole answer on it.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-3/poisoned_prompt
[ -x "$program" ] || exit 2
timeout --kill-after=2 115 "$program" "$here" whole
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
