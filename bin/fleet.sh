# Starts and stops one fleet of processes on loopback; sourced after lib.sh, not run.
# Every process is started by `launch` and stopped by its id in `stop_fleet`.

FLEET_DIR=
FLEET_PIDS=()
FLEET_NAMES=()
START_SECONDS=30

# Makes the folder for logs; its processes end with this script.
open_fleet() {
    FLEET_DIR=$(mktemp -d)
    trap stop_fleet EXIT
}

# launch NAME PROGRAM [ARGUMENT...]: starts a program in the background, its output in a file.
launch() {
    local name=$1 program=$2
    shift 2
    : >"$FLEET_DIR/$name.log"
    # shellcheck disable=SC2086
    "$JAVA_HOME/bin/java" ${FESCUE_JAVA_OPTIONS:--Xmx256m -XX:+UseSerialGC} \
        --enable-native-access=ALL-UNNAMED --sun-misc-unsafe-memory-access=allow \
        -jar "$JARS/fescueport-$program.jar" "$@" >"$FLEET_DIR/$name.log" 2>&1 &
    FLEET_PIDS+=($!)
    FLEET_NAMES+=("$name")
}

# address_of NAME [WORD]: waits for the line "[WORD ]listening IP:PORT" and prints the address.
address_of() {
    local name=$1 word=${2:-} tries=$((START_SECONDS * 10)) line
    while [ "$tries" -gt 0 ]; do
        line=$(grep -m 1 -o "^${word:+$word }listening [0-9.:]*" "$FLEET_DIR/$name.log" || true)
        if [ -n "$line" ]; then
            echo "${line##* }"
            return 0
        fi
        tries=$((tries - 1))
        sleep 0.1
    done
    echo "$name did not start within $START_SECONDS s:" >&2
    tail -n 20 "$FLEET_DIR/$name.log" >&2
    return 1
}

# admin_of NAME: prints the address where a node offers operators' resources.
admin_of() {
    address_of "$1" >/dev/null
    sed -n 's/^admin \([0-9.:]*\).*/\1/p' "$FLEET_DIR/$1.log" | head -n 1
}

# put_vm VMS_URL ID ROLE ADDRESS FAILURE_DOMAIN [POOL]: puts a VM into the stand-in's list.
put_vm() {
    local vms=$1 id=$2 role=$3 address=$4 domain=$5 pool=${6:-}
    local labels="\"role\":\"$role\",\"port\":\"${address##*:}\""
    [ -z "$pool" ] || labels="$labels,\"pool\":\"$pool\""
    curl -sf -X PUT "$vms/v1/vms/$id" -H 'Content-Type: application/json' -d \
        "{\"id\":\"$id\",\"address\":\"${address%:*}\",\"failureDomain\":\"$domain\",\"state\":\"live\",\"labels\":{$labels}}" \
        >/dev/null
}

# wait_for_ready URL: waits until /readyz answers 200.
wait_for_ready() {
    local tries=$((START_SECONDS * 10))
    until curl -sf "$1/readyz" >/dev/null; do
        tries=$((tries - 1))
        if [ "$tries" -le 0 ]; then
            echo "$1 was not ready within $START_SECONDS s." >&2
            return 1
        fi
        sleep 0.1
    done
}

stop_fleet() {
    local pid
    for pid in "${FLEET_PIDS[@]}"; do
        kill "$pid" 2>/dev/null || true
        kill -CONT "$pid" 2>/dev/null || true
    done
    for pid in "${FLEET_PIDS[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    FLEET_PIDS=()
    FLEET_NAMES=()
    [ -z "$FLEET_DIR" ] || rm -rf "$FLEET_DIR"
}
