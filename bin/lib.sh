# Shared by the scripts in this folder; sourced, not run.
# Finds a JDK of the version the build needs and sets JAVA_HOME, ROOT and JARS.

NEEDED_JDK=25
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
JARS=$ROOT/target

jdk_major() {
    "$1/bin/java" -version 2>&1 | sed -n 's/.*version "\([0-9]*\).*/\1/p' | head -n 1
}

find_jdk() {
    local candidate major
    for candidate in "${JAVA_HOME:-}" $(ls -d /usr/lib/jvm/* 2>/dev/null | sort -rV); do
        [ -x "$candidate/bin/javac" ] || continue
        major=$(jdk_major "$candidate")
        [ -n "$major" ] && [ "$major" -ge "$NEEDED_JDK" ] || continue
        JAVA_HOME=$candidate
        export JAVA_HOME
        return 0
    done
    echo "fescueport needs JDK $NEEDED_JDK or later, and none was found: set JAVA_HOME to one." >&2
    exit 3
}

build_if_needed() {
    if [ -e "$JARS/fescueport-fescue-router.jar" ] &&
        [ -z "$(find "$ROOT/src/main" "$ROOT/pom.xml" -newer "$JARS/fescueport-fescue-router.jar" -type f -print -quit)" ]; then
        return 0
    fi
    echo "Building (the first run fetches libraries) ..." >&2
    (cd "$ROOT" && mvn -B -q -Dmaven.test.skip=true package) >&2 || {
        echo "The build failed: see the lines above." >&2
        exit 3
    }
}

run_program() {
    local jar=$1
    shift
    find_jdk
    build_if_needed
    # shellcheck disable=SC2086
    exec "$JAVA_HOME/bin/java" ${FESCUE_JAVA_OPTIONS:--Xmx256m -XX:+UseSerialGC} \
        --enable-native-access=ALL-UNNAMED --sun-misc-unsafe-memory-access=allow \
        -jar "$JARS/fescueport-$jar.jar" "$@"
}
