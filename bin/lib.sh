# Shared by the scripts in this folder: builds the jars and starts a small deployment on loopback.
set -euo pipefail
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
PRODUCT="$ROOT/cactusspan/target/cactusspan-0.1.0-runnable.jar"
STANDIN="$ROOT/cactusspan-standin/target/cactusspan-standin-0.1.0-runnable.jar"
JAVA_SMALL=(java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx64m -Xss256k -Xshare:auto)
JAVA_STANDIN=(java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx256m -Xshare:auto)
PIDS=()

build() {
    if [ ! -f "$PRODUCT" ] || [ ! -f "$STANDIN" ]; then
        (cd "$ROOT" && mvn -q -B package -DskipTests -pl cactusspan,cactusspan-standin)
    fi
}

start() {
    local name=$1
    shift
    "$@" >"$RUN/$name.out" 2>"$RUN/$name.log" &
    PIDS+=($!)
}

stop_all() {
    local pid
    for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
    PIDS=()
}

await_http() {
    local url=$1 i
    for i in $(seq 1 300); do
        if curl -sf -o /dev/null "$url"; then return 0; fi
        sleep 0.1
    done
    echo "no answer from $url" >&2
    return 1
}

# list_vm VM ZONE ROLE SERVICE PORT
list_vm() {
    curl -sf -o /dev/null -X PUT "$PLATFORM/vms" -d "{\"vm\":\"$1\",\"environment\":\"kilimanjaro\",\"zone\":\"$2\",\"role\":\"$3\",\"service\":\"$4\",\"ip\":\"127.0.0.1\",\"port\":$5,\"state\":\"live\"}"
}

# start_target NUMBER ZONE KIND SERVICE SLOTS
start_target() {
    local n=$1 zone=$2 kind=$3 service=$4 slots=$5
    local target_port=$((BASE + 100 + n)) link_port=$((BASE + 200 + n)) admin_port=$((BASE + 300 + n))
    start "target-$n" "${JAVA_STANDIN[@]}" -jar "$STANDIN" "$kind" --port "$target_port"
    cat >"$RUN/side-$n.json" <<EOF
{
  "environment": "kilimanjaro", "service": "$service", "target": "$service-$n", "vm": "vm-$n",
  "zone": "$zone", "ip": "127.0.0.1", "admin_port": $admin_port, "link_port": $link_port,
  "platform_url": "$PLATFORM", "target_url": "http://127.0.0.1:$target_port", "kind": "$kind", "slots": $slots, "drain_ms": 5000
}
EOF
    start "side-$n" "${JAVA_SMALL[@]}" -jar "$PRODUCT" side --settings "$RUN/side-$n.json"
    list_vm "vm-$n" "$zone" target "$service" "$link_port"
}

# start_entry NUMBER ZONE
start_entry() {
    local n=$1 zone=$2
    local http_port=$((BASE + 10 + n)) admin_port=$((BASE + 20 + n)) link_port=$((BASE + 30 + n))
    cat >"$RUN/entry-$n.json" <<EOF
{
  "environment": "kilimanjaro", "stage": "production", "vm": "entry-$n", "zone": "$zone",
  "ip": "127.0.0.1", "http_port": $http_port, "admin_port": $admin_port, "link_port": $link_port,
  "platform_url": "$PLATFORM", "drain_ms": 5000
}
EOF
    list_vm "entry-$n" "$zone" entry "" "$link_port"
    start "entry-$n" "${JAVA_SMALL[@]}" -jar "$PRODUCT" entry --settings "$RUN/entry-$n.json"
}

# Starts the platform and makes keys for the sample document.
start_platform() {
    RUN=$(mktemp -d)
    BASE=${CACTUSSPAN_BASE_PORT:-21000}
    PLATFORM="http://127.0.0.1:$BASE"
    trap 'stop_all; if [ -n "${CACTUSSPAN_KEEP:-}" ]; then echo "kept $RUN" >&2; else rm -rf "$RUN"; fi' EXIT
    start platform "${JAVA_STANDIN[@]}" -jar "$STANDIN" platform --port "$BASE"
    await_http "$PLATFORM/counters"
    "${JAVA_SMALL[@]}" -jar "$STANDIN" keys --out "$RUN/document.json" --keys "$RUN/keys.json" \
        "$ROOT/samples/kilimanjaro.json" 2>"$RUN/keys.log"
}

put_document() {
    local store=(--platform "$PLATFORM" --environment kilimanjaro)
    "${JAVA_SMALL[@]}" -jar "$PRODUCT" config put "${store[@]}" --expect 0 "$RUN/document.json"
    "${JAVA_SMALL[@]}" -jar "$PRODUCT" config promote "${store[@]}" --trial 1 --expect 0
}

# Starts the platform, three engines and a plain service in three zones, and two entries.
start_deployment() {
    start_platform
    start_target 1 dar-a engine lantern-lm 16
    start_target 2 arusha-a engine lantern-lm 16
    start_target 3 zanzibar-a engine lantern-lm 16
    start_target 4 dar-a service booking 32
    start_entry 1 dar-a
    start_entry 2 arusha-a
    put_document
}
