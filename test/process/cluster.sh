# Starts the stand-ins and the daemons of a small site on loopback addresses.
# Sourced by scripts. Every process that `start` started is killed on exit.

build=${BUILD_DIR:-build}
base_port=${BASE_PORT:-20000}
run_dir=${RUN_DIR:-$(mktemp -d)}
declare -A pid_of=()

store_port=$((base_port))
upstream_port() { echo $((base_port + 100 + $1)); }
owner_port() { echo $((base_port + 200 + $1)); }
entry_port() { echo $((base_port + 210 + $1)); }
owner_ops_port() { echo $((base_port + 220 + $1)); }
entry_ops_port() { echo $((base_port + 230 + $1)); }
caller_port() { echo $((base_port + 240 + $1)); }

start() { # name, command...
  local name=$1
  shift
  "$@" 2>>"$run_dir/$name.log" >>"$run_dir/$name.out" &
  pid_of[$name]=$!
  disown $!
}

kill_all() {
  local name
  for name in "${!pid_of[@]}"; do
    kill -CONT "${pid_of[$name]}" 2>/dev/null || true
    kill -KILL "${pid_of[$name]}" 2>/dev/null || true
  done
}
trap kill_all EXIT
trap 'exit 130' INT TERM

wait_http() { # port path
  local i
  for i in $(seq 1 600); do
    curl -sf -o /dev/null --max-time 2 "http://127.0.0.1:$1$2" && return 0
    sleep 0.02
  done
  echo "no answer from port $1, path $2" >&2
  return 1
}

store_call() { # path body
  curl -s --max-time 5 -H 'content-type: application/json' -d "$2" \
    "http://127.0.0.1:$store_port$1"
}

start_store() {
  start platform "$build/test/standin-platform" --port "$store_port"
  wait_http "$store_port" /count
}

start_upstream() { # index role term [follow index]
  local extra=()
  [ -n "${4:-}" ] && extra=(--follow "$(upstream_port "$4")")
  start "upstream-$1" "$build/test/standin-upstream" \
    --port "$(upstream_port "$1")" --role "$2" --term "$3" "${extra[@]}"
}

start_group() { # three upstreams; the first is the primary
  start_upstream 1 primary 1
  start_upstream 2 detached 1 1
  start_upstream 3 detached 1 1
}

endpoint() { echo "{\"address\": \"127.0.0.1\", \"port\": $1}"; }

put_hosts() { # host indexes...
  local list="" i
  for i in "$@"; do
    list+="${list:+,}{\"name\":\"host-$i\",\"zone\":\"zone-$i\","
    list+="\"owner\":$(endpoint "$("${owner_port_function:-owner_port}" "$i")"),"
    list+="\"entry\":$(endpoint "$(entry_port "$i")"),"
    list+="\"owner_operators\":$(endpoint "$(owner_ops_port "$i")"),"
    list+="\"entry_operators\":$(endpoint "$(entry_ops_port "$i")")}"
  done
  put_value hosts "{\"hosts\":[$list]}"
}

put_value() { # key text
  local revision
  revision=$(store_call /v1/get "{\"key\":\"$1\"}" |
    sed 's/.*"revision":\([0-9]*\).*/\1/')
  local text=${2//\"/\\\"}
  store_call /v1/swap \
    "{\"key\":\"$1\",\"revision\":$revision,\"value\":\"$text\"}" >/dev/null
}

write_settings() { # host index
  local role callers
  for role in entry owner; do
    callers=""
    [ $role = entry ] &&
      callers="\"callers\": $(endpoint "$(caller_port "$1")"),"
    cat >"$run_dir/host-$1-$role.json" <<EOF
{
  "host": "host-$1",
  "zone": "zone-$1",
  $callers
  "peers": $(endpoint "$("${role}_port" "$1")"),
  "operators": $(endpoint "$("${role}_ops_port" "$1")"),
  "seeds": [${seeds:-}],
  "store": $(endpoint "$store_port")
}
EOF
  done
}

start_host() { # host index
  write_settings "$1"
  local role
  for role in owner entry; do
    start "host-$1-$role" "$build/marigoldpitch-$role" \
      --settings "$run_dir/host-$1-$role.json"
  done
  wait_http "$(owner_ops_port "$1")" /ready
  wait_http "$(entry_ops_port "$1")" /ready
}

# Relays between owners and upstreams, and between entries and owners.
relay_port() { echo $((base_port + 300 + $1)); }
relay_control_port() { echo $((base_port + 310 + $1)); }

start_relay() { # index target-port
  start "relay-$1" "$build/test/standin-relay" --port "$(relay_port "$1")" \
    --target "$2" --control "$(relay_control_port "$1")"
  wait_http "$(relay_control_port "$1")" /state
}

command_relay() { # index command
  curl -sf -o /dev/null -X POST "http://127.0.0.1:$(relay_control_port "$1")/$2"
}

has_ended() { # name
  ! kill -0 "${pid_of[$1]}" 2>/dev/null
}

wait_for() { # seconds command...
  local i limit=$1
  shift
  for i in $(seq 1 $((limit * 50))); do
    "$@" && return 0
    sleep 0.02
  done
  echo "timed out waiting for: $*" >&2
  return 1
}

rpc() { # port method body
  curl -s --max-time 6 -H 'content-type: application/json' -d "$3" \
    "http://127.0.0.1:$1/marigoldpitch.v1.$2"
}

status_of() { # host index; prints the owner's status
  rpc "$(owner_ops_port "$1")" Operator/Status '{}'
}

owner_of() { # group; prints the index of the host that owns it
  local i
  for i in "${hosts[@]}"; do
    local status
    status=$(status_of "$i")
    if grep -q "\"group\":\"$1\"" <<<"$status" &&
      ! grep -q "\"group\":\"$1\".*\"standby\":true" <<<"$status"; then
      echo "$i"
      return
    fi
  done
}

start_load() { # seconds seed; uses the entries of ${hosts[@]}
  local entries="" ready="" i
  for i in "${hosts[@]}"; do
    entries+="${entries:+,}127.0.0.1:$(caller_port "$i")"
    ready+="${ready:+,}127.0.0.1:$(entry_ops_port "$i")"
  done
  "$build/marigoldpitch-load" --entries "$entries" --ready "$ready" \
    --group orders --seconds "$1" --seed "$2" --sessions 16 \
    >"$run_dir/table" 2>"$run_dir/load.log" &
  load_pid=$!
}

requests_sent() {
  local sent
  sent=$(grep requests "$run_dir/load.log" 2>/dev/null | tail -n 1 | cut -d ' ' -f 1)
  echo "${sent:-0}"
}

load_has_sent() { # minimum number of requests
  [ "$(requests_sent)" -ge "$1" ]
}

finish_load() {
  local status=0
  wait "$load_pid" || status=$?
  cat "$run_dir/table"
  return $status
}

table_value() { awk -v name="$1" '$1 == name { print $2 }' "$run_dir/table"; }

expect() { # name actual operator bound
  if [ "$2" "$3" "$4" ]; then
    echo "ok: $1 is $2"
  else
    echo "NOT OK: $1 is $2, expected $3 $4"
    grep -hE "^(wrong|refused)" "$run_dir/load.log" 2>/dev/null | head -5
    exit 1
  fi
}

expect_none() { # rows of the load generator's table...
  local row
  for row in "$@"; do expect "$row" "$(table_value "$row")" -eq 0; done
}

ctl() { "$build/marigoldpitch-ctl" --store "127.0.0.1:$store_port" "$@"; }

start_site() { # hosts...
  hosts=("$@")
  start_store
  start_group
  put_hosts "$@"
  put_value configuration/default "$(configuration)"
  local i
  for i in "$@"; do
    start_host "$i"
  done
  wait_for 10 primary_is 1
}

all_status() {
  local i
  for i in "${hosts[@]}"; do status_of "$i"; done
}

primary_is() { # upstream index
  grep -q "\"primary\":\"upstream-$1\"" <<<"$(all_status)"
}

primary_is_not() {
  local status
  status=$(all_status)
  grep -q '"primary":"upstream' <<<"$status" &&
    ! grep -q "\"primary\":\"upstream-$1\"" <<<"$status"
}

configuration() { # prints a configuration with one group of three upstreams
  local list="" i
  for i in 1 2 3; do
    list+="${list:+,}{\"name\":\"upstream-$i\",\"zone\":\"zone-$i\","
    list+="\"address\":\"127.0.0.1\",\"port\":$("${upstream_port_function:-upstream_port}" "$i")}"
  done
  cat <<EOF
{"groups":[{"name":"orders","database":"orders","user":"orders","slots":4,"connections":16,"upstreams":[$list],"services":[{"name":"payment","priority":"critical","timeout_ms":2000},{"name":"order","timeout_ms":2000},{"name":"stock","max_age_ms":2000,"timeout_ms":1000}]}]}
EOF
}
