# Functions that start a fleet of stand-ins and VMs on this machine and stop it again.
# To be sourced; all processes are children of the sourcing script.

fleet_pids=()
declare -A fleet_pid
fleet_dir=""
fleet_operator_addresses=()
fleet_operator_key=operator-key

fleet_stop() {
  for pid in "${fleet_pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill "$pid" 2>/dev/null || true; done
  sleep 1
  for pid in "${fleet_pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  for pid in "${fleet_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$fleet_dir"
}

# fleet_spawn NAME COMMAND... runs a command in the background and appends its output to NAME.log.
fleet_spawn() {
  local name="$1"
  shift
  "$@" >>"$fleet_dir/$name.log" 2>&1 &
  fleet_pids+=("$!")
  fleet_pid[$name]="$!"
}

# fleet_start_vm NAME starts one VM of the fleet.
fleet_start_vm() {
  local name="$1" port="${fleet_caller_port[$1]}" region="${1%-*}"
  fleet_spawn "$name" bin/vanillapointd --vm "$name" --region "$region" --zone "$region-1" \
    --callers "127.0.0.1:$port" --peers "127.0.0.1:$((port + 1))" \
    --operators "127.0.0.1:$((port + 2))" --platform "127.0.0.1:$fleet_base_port" \
    --operator-key-sha256 "$fleet_operator_key_sha256" --list-lag-ms 1000 ${FLEET_VM_FLAGS:-}
}

# fleet_prepare BASE_PORT DECLARATIONS VMS_PER_REGION ENGINES_PER_REGION REGION... assigns ports and writes
# the values that the platform stand-in serves.
fleet_prepare() {
  fleet_base_port="$1"
  local declarations="$2" vms_per_region="$3" engines_per_region="$4"
  shift 4
  fleet_regions=("$@")
  fleet_dir="$(mktemp -d)"
  mkdir -p "$fleet_dir/values/platform"
  fleet_operator_key_sha256="$(printf '%s' "$fleet_operator_key" | bin/vanillapoint digest)"
  bin/vanillapoint check "$declarations"/*.yaml
  bin/vanillapoint collect "$declarations"/*.yaml --out "$fleet_dir/values"
  declare -gA fleet_caller_port
  fleet_vms=()
  fleet_engines=()
  fleet_services=()
  declare -gA fleet_upstream_port
  local vms="" upstreams="" port=$((fleet_base_port + 10)) region n models
  for region in "${fleet_regions[@]}"; do
    for n in $(seq 1 "$vms_per_region"); do
      fleet_caller_port[$region-$n]=$port
      fleet_vms+=("$region-$n")
      fleet_operator_addresses+=("127.0.0.1:$((port + 2))")
      vms+="{\"name\":\"$region-$n\",\"region\":\"$region\",\"zone\":\"$region-1\",\"callers\":\"127.0.0.1:$port\",\"peers\":\"127.0.0.1:$((port + 1))\",\"operators\":\"127.0.0.1:$((port + 2))\"},"
      port=$((port + 3))
    done
    models="${FLEET_MODELS:-\"case-summary\"}"
    if [ "$region" = "${FLEET_ONLY_REGION:-none}" ]; then models="$models,$FLEET_ONLY_MODEL"; fi
    for n in $(seq 1 "$engines_per_region"); do
      fleet_upstream_port[$region-engine-$n]=$port
      fleet_engines+=("$region-engine-$n")
      upstreams+="{\"name\":\"$region-engine-$n\",\"kind\":\"model\",\"region\":\"$region\",\"zone\":\"$region-1\",\"address\":\"127.0.0.1:$port\",\"serves\":[$models],\"capacity\":8},"
      port=$((port + 1))
    done
    fleet_upstream_port[$region-service]=$port
    fleet_services+=("$region-service")
    upstreams+="{\"name\":\"$region-service\",\"kind\":\"service\",\"region\":\"$region\",\"zone\":\"$region-1\",\"address\":\"127.0.0.1:$port\",\"serves\":[\"publish\",\"notices\"],\"capacity\":8},"
    port=$((port + 1))
  done
  echo "{\"vms\":[${vms%,}]}" >"$fleet_dir/values/platform/vms.json"
  echo "{\"upstreams\":[${upstreams%,}]}" >"$fleet_dir/values/platform/upstreams.json"
}

# fleet_start starts the processes that fleet_prepare configured and waits until the base share of every
# VM is active.
fleet_start() {
  local name
  fleet_spawn platform bin/vanillapoint-standin platform --port "$fleet_base_port" --folder "$fleet_dir/values"
  for name in "${fleet_engines[@]}"; do
    fleet_spawn "$name" bin/vanillapoint-standin engine --port "${fleet_upstream_port[$name]}" \
      --name "$name" ${FLEET_ENGINE_FLAGS:-}
  done
  for name in "${fleet_services[@]}"; do
    fleet_spawn "$name" bin/vanillapoint-standin service --port "${fleet_upstream_port[$name]}" --name "$name"
  done
  for name in "${fleet_vms[@]}"; do fleet_start_vm "$name"; done
  export VANILLAPOINT_KEY="$fleet_operator_key"
  local active_shares
  for _ in $(seq 1 120); do
    active_shares="$(bin/vanillapoint status --json "${fleet_operator_addresses[@]}" 2>/dev/null | grep -c '"share_active":true' || true)"
    if [ "$active_shares" = "${#fleet_vms[@]}" ]; then return 0; fi
    sleep 0.5
  done
  echo "the VMs did not become ready: not all of them reported an active base share" >&2
  tail -n 5 "$fleet_dir"/*.log >&2
  return 1
}
