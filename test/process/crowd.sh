# A crowd of callers that misbehave in one way, at one proxy whose limits of
# memory and descriptors are low. Sourced by the tests, one for each way, after
# `crowd_mode` and `crowd_callers` are set.
#
# The bounds follow from the limits that the settings state: at most three
# quarters of the memory and of the descriptors at any time, and half of the
# memory after the crowd has left. None of them depends on the machine's speed:
# the waits below only end a test that would never end.

BASE_PORT=${BASE_PORT:-29800}
. test/process/site.sh
memory_mb=96
descriptors=256
peak_bound_mb=$((memory_mb * 3 / 4))
rest_bound_mb=$((memory_mb / 2))
descriptor_bound=$((descriptors * 3 / 4))

memory_of_host() { # field of /proc/PID/status; in MiB
  awk -v field="$1:" '$1 == field { print int($2 / 1024) }' \
    "/proc/${pid_of[host-1]}/status"
}
descriptors_of_host() { find "/proc/${pid_of[host-1]}/fd" -type l | wc -l; }

open_ordinary() { # sets `ordinary`; fails if there is no greeting
  local line
  exec {ordinary}<>"/dev/tcp/127.0.0.1/$(proxy_port 1)" || return 1
  printf 'START ledger ordinary\r\n' >&"$ordinary"
  IFS= read -r -t 5 line <&"$ordinary" && [ "$line" = $'READY I -\r' ]
}

ask_ordinary() { # text; whether it succeeds
  local line status=1
  printf 'QUERY ordinary %s\r\n' "$1" >&"$ordinary" || return 1
  while IFS= read -r -t 5 line <&"$ordinary"; do
    case $line in
      "DONE "*) status=0 ;;
      "READY "*) return $status ;;
    esac
  done
  return 1
}

# A caller that is refused tries again, as ordinary ones do.
is_served() { ask_ordinary "$1" || { sleep 0.2 && false; }; }
is_served_anew() {
  open_ordinary && ask_ordinary "READ small" && return 0
  exec {ordinary}>&- || true
  sleep 0.2
  return 1
}
is_at_rest() { [ "$(memory_of_host VmRSS)" -le "$rest_bound_mb" ]; }
has_settled() { grep -q settled "$run_dir/crowd.out"; }
is_watched() { # the peak of the open descriptors while waiting
  local open
  open=$(descriptors_of_host)
  [ "$open" -le "$peak_descriptors" ] || peak_descriptors=$open
  has_settled
}

answers() { # port path
  local i
  for i in $(seq 1 10); do
    curl -sf -o /dev/null --max-time 2 "http://127.0.0.1:$1$2" && return 0
    sleep 0.2
  done
  echo "NOT OK: no answer from port $1, path $2"
  exit 1
}

start_limited_proxy() {
  proxy_settings 1 |
    sed "s/\"grace_seconds\"/\"memory_mb\":$memory_mb,\"descriptors\":$descriptors,&/" \
      >"$run_dir/host-1.json"
  start host-1 prlimit --nofile="$descriptors" \
    "$build/marigoldpitch-proxy" --settings "$run_dir/host-1.json"
  wait_http "$(health_port 1)" /v1/ready
}

run_crowd() {
  start_site
  start_limited_proxy
  wait_for 10 is_served_anew_after_write
  echo "ok: before the crowd: $(memory_of_host VmRSS) MiB"
  peak_descriptors=0
  start crowd "$build/test/standin-crowd" --port "$(proxy_port 1)" \
    --mode "$crowd_mode" --callers "$crowd_callers"
  wait_for 120 is_watched
  expect "host ended" "$(has_ended host-1 && echo 1 || echo 0)" -eq 0
  echo "peak beside the crowd: $(memory_of_host VmHWM) MiB," \
    "$peak_descriptors descriptors"
  wait_for 30 is_served "READ small" # the session from before the crowd
  answers "$(health_port 1)" /v1/ready
  answers "$(metrics_port 1)" /metrics
  kill -KILL "${pid_of[crowd]}"
  wait_for 30 is_served_anew
  wait_for 10 is_at_rest || true
  expect "host ended" "$(has_ended host-1 && echo 1 || echo 0)" -eq 0
  expect "peak of the descriptors" "$peak_descriptors" -le "$descriptor_bound"
  expect "peak of the memory in MiB" "$(memory_of_host VmHWM)" -le "$peak_bound_mb"
  expect "memory at rest in MiB" "$(memory_of_host VmRSS)" -le "$rest_bound_mb"
}

is_served_anew_after_write() {
  open_ordinary && ask_ordinary "WRITE small one" &&
    ask_ordinary "WRITE large $(head -c 900000 /dev/zero | tr '\0' x)" &&
    return 0
  exec {ordinary}>&- || true
  sleep 0.2
  return 1
}
