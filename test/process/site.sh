# Starts proxies and a stand-in of the platform. Sourced by scripts.

. test/process/cluster.sh
first_upstream_port=$((base_port + 100))
proxy_port() { echo $((base_port + 200 + $1)); }
health_port() { echo $((base_port + 210 + $1)); }
metrics_port() { echo $((base_port + 220 + $1)); }
peer_port() { echo $((base_port + 230 + $1)); }
control_platform() { store_call /control "$1"; }

proxy_settings() { # host [zone]
  local at='"127.0.0.1:'
  echo "{\"host\":\"host-$1\",\"zone\":\"zone-${2:-$1}\",
    \"callers\":$at$(proxy_port "$1")\",\"health\":$at$(health_port "$1")\",
    \"metrics\":$at$(metrics_port "$1")\",\"peers\":$at$(peer_port "$1")\",\"store\":$at$store_port\",
    \"duties\":$at$store_port\",\"grace_seconds\":6,\"upstream_drain_ms\":7000}"
}

start_site() {
  start site "$build/test/standin-site" --store "$store_port" \
    --upstreams "$first_upstream_port"
  wait_http "$store_port" "/v1/kv-key?key=op/config"
}

start_proxy() { # host [zone]
  proxy_settings "$1" "${2:-$1}" >"$run_dir/host-$1.json"
  start "host-$1" "$build/marigoldpitch-proxy" --settings "$run_dir/host-$1.json"
}

expect_equal() { # name actual expected
  if [ "$2" != "$3" ]; then
    echo "WRONG: $1 is '$2', expected '$3'" >&2
    exit 1
  fi
  echo "ok: $1 is '$2'"
}
