# Shared by the examples. Needs BASILSPREAD, BASILCTL and STANDIN.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
folder=$(mktemp -d)
children=()

finish() {
  for child in "${children[@]}"; do
    kill "$child" 2>/dev/null || true
  done
  rm -rf "$folder"
}
trap finish EXIT

fail() {
  echo "FAILED: $*"
  exit 1
}

# Starts a stand-in of the platform on a free port: start_standin log|hosts
# leaves the port in $port.
start_standin() {
  local attempt
  for attempt in 1 2 3 4 5 6 7 8 9 10; do
    port=$((20000 + RANDOM % 10000))
    if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
      continue
    fi
    "$STANDIN" "$1" "$port" &
    local child=$!
    children+=("$child")
    await_port "$port" "$child" && return 0
  done
  fail "no free port was found for $1"
}

# Waits until the port answers; fails when its process has ended.
await_port() {
  local attempt
  for attempt in $(seq 100); do
    kill -0 "$2" 2>/dev/null || return 1
    (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null && return 0
    read -r -t 0.1 <> <(:) || true
  done
  return 1
}

# Prints a host list: hosts COUNT GROUP EXTRA, eight hosts a rack.
hosts() {
  local i
  for ((i = 0; i < $1; i++)); do
    printf '{"name":"%s-%d","address":"10.0.%d.%d:9000","group":"%s",' \
      "$2" $((i + 1)) $((i / 8)) $((i % 8 + 1)) "$2"
    printf '"zone":"%s","rack":"%s-rack-%d",%s},' \
      "$4" "$2" $((i / 8 + 1)) "$3"
  done
}

# Sends a host list of 50 minions and 50 workers: put_hosts PORT MINIONS
# WORKERS WORKER_MEBIBYTES ZONE
put_hosts() {
  local minions workers body
  minions=$(hosts 50 "$2" '"slots":8,"connections":64' "$5")
  workers=$(hosts 50 "$3" \
    "\"cpu_millicores\":64000,\"memory_mebibytes\":$4" "$5")
  body="{\"hosts\":[$minions${workers%,}]}"
  exec 3<>"/dev/tcp/127.0.0.1/$1"
  printf 'PUT /hosts HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "${#body}" "$body" >&3
  cat <&3 >/dev/null
  exec 3>&-
}

# Runs a command that must end with a status: expect STATUS COMMAND...
expect() {
  local wanted=$1 got=0
  shift
  "$@" || got=$?
  [[ $got == "$wanted" ]] || fail "exit status $got, not $wanted: $*"
}
