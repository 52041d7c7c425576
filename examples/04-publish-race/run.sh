#!/usr/bin/env bash
# Two operators publish against version 1: one is accepted, the other is told
# who won and what differs.
source "$(dirname "$0")/../lib.sh"
start_standin log
tables="$here/../02-loch-braan"
publish() { # AUTHOR BASE ROUTES
  "$BASILCTL" publish --log "127.0.0.1:$port" --author "$1" --base "$2" \
    --routes "$3" --pools "$tables/pools.ini"
}
expect 0 publish isla 0 "$tables/routes.ini"
sed 's/deadline = 2s/deadline = 3s/' "$tables/routes.ini" >"$folder/ewan.ini"
sed 's/deadline = 2s/deadline = 4s/' "$tables/routes.ini" >"$folder/mairi.ini"
publish ewan 1 "$folder/ewan.ini" >"$folder/ewan" 2>&1 &
ewan=$!
publish mairi 1 "$folder/mairi.ini" >"$folder/mairi" 2>&1 &
mairi=$!
ewan_status=0
mairi_status=0
wait "$ewan" || ewan_status=$?
wait "$mairi" || mairi_status=$?
cat "$folder/ewan" "$folder/mairi"
echo "ewan ended with $ewan_status, mairi with $mairi_status"
case "$ewan_status $mairi_status" in
"0 3") winner=ewan loser=mairi ;;
"3 0") winner=mairi loser=ewan ;;
*) fail "not exactly one edit was accepted" ;;
esac
grep -q "winner=$winner" "$folder/$loser" || fail "the loser was not told"
grep -q 'deadline: ' "$folder/$loser" || fail "the difference was not told"
"$BASILCTL" history --log "127.0.0.1:$port"
"$BASILCTL" show --log "127.0.0.1:$port" | grep "version 2 author $winner"
