# Starts proxies and a stand-in of the platform. Sourced by scripts.

. test/process/cluster.sh
first_upstream=$((base_port + 100))
front() { echo $((base_port + 200 + $1)); }
health() { echo $((base_port + 210 + $1)); }
metrics() { echo $((base_port + 220 + $1)); }
peers() { echo $((base_port + 230 + $1)); }
control() { store_call /control "$1"; }

settings() { # host [zone]
  local at='"127.0.0.1:'
  echo "{\"host\":\"host-$1\",\"zone\":\"zone-${2:-$1}\",
    \"callers\":$at$(front "$1")\",\"health\":$at$(health "$1")\",
    \"metrics\":$at$(metrics "$1")\",\"peers\":$at$(peers "$1")\",\"store\":$at$store_port\",
    \"duties\":$at$store_port\",\"grace_seconds\":6}"
}

start_site() {
  start site "$build/test/standin-site" --store "$store_port" \
    --upstreams "$first_upstream"
  wait_http "$store_port" "/v1/kv-key?key=op/config"
}

start_proxy() { # host [zone]
  settings "$1" "${2:-$1}" >"$run_dir/host-$1.json"
  start "host-$1" "$build/marigoldpitch-proxy" --settings "$run_dir/host-$1.json"
}

same() { # name actual expected
  if [ "$2" != "$3" ]; then
    echo "WRONG: $1 is '$2', expected '$3'" >&2
    exit 1
  fi
  echo "ok: $1 is '$2'"
}
