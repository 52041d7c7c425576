#!/usr/bin/env bash
# Runs the case on loopback addresses. Exit: 1 the rule was broken, 0 it held,
# 2 the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
entry=target/packages/entry/basilspread
program=target/review-3/answers
if [[ ! -x $entry || ! -x $program ]]; then
  echo "build the deploy file and run review/build-3.sh first"
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=1 118 "$program" "$entry" "$folder" \
  "$here/record.txt" "${TROUBLE:-1}"
status=$?
[[ $status -le 1 ]] || status=2
exit "$status"
