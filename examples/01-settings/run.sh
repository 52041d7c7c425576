#!/usr/bin/env bash
# A settings file is checked; a broken one is refused with every fault at once.
source "$(dirname "$0")/../lib.sh"
expect 0 "$BASILSPREAD" --check --config "$here/glasgow-1.ini"
echo "A broken file:"
expect 2 "$BASILSPREAD" --check --config "$here/broken.ini" 2>"$folder/faults"
cat "$folder/faults"
[[ $(wc -l <"$folder/faults") == 6 ]] || fail "not every fault was told"
