# Plays a case: play CLASS; sourced by run.sh of the case. Exits with 1 if the rule was broken, 0 if
# it held, and 2 if the case could not run; a program that fails otherwise has not run.
play() {
    . "$HERE/../../bin/lib.sh"
    find_jdk
    cd "$ROOT"
    if [ ! -x target/runtime/bin/java ] || [ ! -e target/review-3/"$1".class ]; then
        echo "Build first: bash deploy/build && bash review/build-3.sh" >&2
        exit 2
    fi
    local code=0
    "$JAVA_HOME/bin/java" -Xmx512m -cp target/review-3 "$1" "$HERE/record.txt" || code=$?
    case $code in
        0) exit 0 ;;
        10) exit 1 ;;
        *) exit 2 ;;
    esac
}
