#!/usr/bin/env bash
# The tables are valid and fit the hosts; a mistyped group gets a warning.
source "$(dirname "$0")/../lib.sh"
start_standin hosts
put_hosts "$port" layout estate 262144 glasgow
check() {
  "$BASILCTL" check --hosts "127.0.0.1:$port" \
    --routes "$here/routes.ini" --pools "$1" 2>&1
}
check "$here/pools.ini" | tee "$folder/valid"
grep -q 'warnings=0' "$folder/valid" || fail "the tables gave warnings"
sed 's/group = layout/group = lay-out/' "$here/pools.ini" >"$folder/pools.ini"
check "$folder/pools.ini" | tee "$folder/mistyped"
grep -q 'has no live host' "$folder/mistyped" || fail "no warning was given"
