# Sourced by the cases: play CLASS FOLDER runs a case and ends with its result.
. "$(dirname "${BASH_SOURCE[0]}")/../bin/lib.sh"

play() {
    find_jdk
    cd "$ROOT"
    if [ ! -e "target/review/review/$1.class" ] || [ ! -e target/router.jar ]; then
        echo "Not built: run the build of the deploy file, then review/build.sh." >&2
        exit 2
    fi
    exec "$JAVA_HOME/bin/java" -Xmx512m -XX:+UseSerialGC -cp target/review "review.$1" "$2"
}
