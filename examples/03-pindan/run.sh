#!/usr/bin/env bash
# The tables are valid and fit the hosts; an unwise edit gets warnings, an
# invalid one is refused with every fault.
source "$(dirname "$0")/../lib.sh"
start_standin hosts
put_hosts "$port" dispatch rebalance 131072 perth
check() {
  "$BASILCTL" check --hosts "127.0.0.1:$port" \
    --routes "$1" --pools "$here/pools.ini" 2>&1
}
check "$here/routes.ini" | tee "$folder/valid"
grep -q 'warnings=0' "$folder/valid" || fail "the tables gave warnings"
sed 's/deadline = 5m/deadline = 5s/' "$here/routes.ini" >"$folder/routes.ini"
check "$folder/routes.ini" | tee "$folder/unwise"
grep -q 'shorter than the expected run time' "$folder/unwise" ||
  fail "no warning was given"
sed -e 's/pool = dispatch/pool = despatch/' -e 's/= 3s/= 3/' \
  "$here/routes.ini" >"$folder/routes.ini"
expect 2 check "$folder/routes.ini" | tee "$folder/invalid"
[[ $(wc -l <"$folder/invalid") == 4 ]] || fail "not every fault was told"
