# Sessions at proxies, and what the upstreams have to have run for them.
# Sourced by scripts after site.sh.
#
# `ask` sends a statement and `collect` reads its answer, so that statements of
# several sessions can overlap. What succeeded goes into $run_dir/expected-runs
# and $run_dir/expected-log, in the words of the stand-in's record.

export LC_ALL=C # texts are bytes
declare -A fd_of=() request_of=() text_of=() transaction_of=()
declare -A shape_of=()   # by session and name: READ or WRITE and the text
declare -A setting_of=() # by session and name
declare -A value_of=()   # by item: the newest committed value
setting_names="lang tz who" # sorted
number=0
: >"$run_dir/expected-runs"
: >"$run_dir/expected-log"

wrong() { # message
  echo "WRONG: $*" | cut -c 1-600 >&2
  exit 1
}

open_session() { # session host database
  local fd line
  exec {fd}<>"/dev/tcp/127.0.0.1/$(proxy_port "$2")"
  printf 'START %s test\r\n' "$3" >&"$fd"
  IFS= read -r -t 3 line <&"$fd" || wrong "session $1: no greeting"
  [ "$line" = $'READY I -\r' ] || wrong "session $1: greeting '$line'"
  fd_of[$1]=$fd
}

ask() { # session text
  number=$((number + 1))
  request_of[$1]=q$number
  text_of[$1]=$2
  printf 'QUERY q%s %s\r\n' "$number" "$2" >&"${fd_of[$1]}"
}

collect() { # session; sets `answer`, and `row` if the answer has one
  local line
  answer=""
  row="(no row)"
  while IFS= read -r -t 5 line <&"${fd_of[$1]}"; do
    line=${line%$'\r'}
    case $line in
      "ROW "*) row=${line#ROW } ;;
      "READY "*) break ;;
      *) answer+=$line ;;
    esac
    line=""
  done
  [ -n "$line" ] || wrong "session $1: no whole answer to '${text_of[$1]}'"
  case $answer in "DONE "*) record "$1" ;; esac
}

say() { # session text; until it is not refused as busy, for 5 tries at most
  local i
  for i in 1 2 3 4 5; do
    ask "$1" "$2"
    collect "$1"
    case $answer in "ERR BUSY "*) sleep 0.1 ;; *) break ;; esac
  done
}

must() { # session text
  say "$1" "$2"
  require_done "$1"
}

require_done() { # session
  case $answer in
    "DONE "*) ;;
    *) wrong "session $1: '${text_of[$1]}' was answered '$answer'" ;;
  esac
}

record() { # session; its last statement has succeeded
  local text=${text_of[$1]}
  local verb=${text%% *} rest=${text#* }
  local name=${rest%% *}
  case $verb in
    READ) expect_run "$1" "$text" "" && expect_row "$1" "$rest" ;;
    WRITE) expect_run "$1" "$text" "" && expect_write "$1" "$rest" ;;
    SET) setting_of[$1 $name]=${rest#"$name"} ;;
    PREPARE) shape_of[$1 $name]=${rest#* } ;;
    FORGET) unset "shape_of[$1 $name]" ;;
    BEGIN) transaction_of[$1]="open" ;;
    COMMIT | ROLLBACK) end_transaction "$1" "$verb" ;;
    EXEC)
      local shape=${shape_of[$1 $name]:-}
      [ -n "$shape" ] || wrong "session $1: '$text' ran, but isn't prepared"
      expect_run "$1" "EXEC ${rest#* }" "$shape"
      case $shape in
        READ*) expect_row "$1" "${rest#* }" ;;
        *) expect_write "$1" "${rest#* }" ;;
      esac
      ;;
  esac
}

json() { # text; sets `quoted`; the stand-in replaces bytes that aren't UTF-8
  quoted=${1//\\/\\\\}
  quoted=${quoted//\"/\\\"}
  quoted=${quoted//$'\t'/\\t}
  quoted=${quoted//$'\n'/\\n}
  quoted=${quoted//$'\r'/\\r}
  quoted=${quoted//$'\x01'/\\u0001}
  quoted=\"${quoted//$'\xff'/$'\xef\xbf\xbd'}\"
}

expect_run() { # session text shape
  local name settings="" line
  for name in $setting_names; do
    if [ -n "${setting_of[$1 $name]+set}" ]; then
      json "${setting_of[$1 $name]# }"
      settings+="${settings:+,}\"$name\":$quoted"
    fi
  done
  json "$3"
  line="{\"prepared\":$quoted,\"request\":\"${request_of[$1]}\","
  json "$2"
  printf '%s\n' "$line\"settings\":{$settings},\"text\":$quoted}" \
    >>"$run_dir/expected-runs"
  local who=${setting_of[$1 who]+.who=${setting_of[$1 who]# }}
  case $answer in
    "DONE sig.read$who" | "DONE sig.write$who") ;;
    *) wrong "session $1: '$2' was answered '$answer', expected '$who'" ;;
  esac
}

expect_row() { # session item; a session at a replica may see older values
  local newest=${value_of[x$2]:-nothing}
  case $1 in replica*) [ "$newest" = nothing ] || return 0 ;; esac
  [ "$row" = "$newest" ] ||
    wrong "session $1: '${text_of[$1]}' returned '$row', expected '$newest'"
}

expect_write() { # session item-and-data
  if [ -n "${transaction_of[$1]:-}" ]; then
    transaction_of[$1]+=$'\n'$2
  else
    add_to_log "$2"
  fi
}

end_transaction() { # session verb
  local entries=${transaction_of[$1]:-} entry
  transaction_of[$1]=""
  [ "$2" = COMMIT ] || return 0
  while IFS= read -r entry; do
    [ "$entry" = open ] || add_to_log "$entry"
  done <<<"$entries"
}

add_to_log() { # item-and-data
  local item=${1%% *}
  value_of[x$item]=${1#* }
  json "$item"
  local quoted_item=$quoted
  json "${1#* }"
  printf '%s\n' "[$quoted_item,$quoted]" >>"$run_dir/expected-log"
}

expect_no_further_answers() {
  local session line
  for session in "${!fd_of[@]}"; do
    if IFS= read -r -t 0.02 line <&"${fd_of[$session]}"; then
      wrong "session $session: an answer to nothing, '$line'"
    fi
  done
}

strange_lines() {
  control_platform '{}' | grep -o '"strange":[0-9]*' | cut -d : -f 2
}

# Appends what ran since the last call to $run_dir/runs, one run a line.
take_runs() {
  control_platform '{"runs":true}' | tr -d '\n' |
    sed 's/.*"runs":\[//; s/\],"strange":[0-9]*}$//' |
    sed 's/},{"prepared":/}\n{"prepared":/g' | sed '/^$/d; $a\' \
    >>"$run_dir/runs"
}

expect_same() { # name file expected-file
  sort "$2" >"$2.sorted"
  sort "$3" >"$3.sorted"
  if ! diff "$3.sorted" "$2.sorted" >"$2.diff"; then
    echo "WRONG: $1, expected (<) and actual (>):" >&2
    cut -c 1-300 "$2.diff" | head -30 >&2
    exit 1
  fi
  echo "ok: $1, $(wc -l <"$2")"
}

compare_runs() {
  take_runs
  expect_same "what ran is what was sent" "$run_dir/runs" \
    "$run_dir/expected-runs"
}

compare_log() {
  control_platform '{"log":true}' | tr -d '\n' |
    sed 's/.*"log":\[//; s/\],"primary":.*//; s/\],\[/]\n[/g' | sed '$a\' \
    >"$run_dir/log"
  expect_same "the log is what was written" "$run_dir/log" \
    "$run_dir/expected-log"
}
