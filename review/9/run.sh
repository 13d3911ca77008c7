#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Run review/build-2.sh before.
set -u
HERE=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$HERE/../../bin/lib.sh"
(find_jdk) || exit 2
find_jdk
cd "$ROOT" || exit 2
[ -e target/review-2/ColdAfterKill.class ] && [ -x target/runtime/bin/java ] || {
    echo "Run deploy/build and review/build-2.sh first." >&2
    exit 2
}
exec "$JAVA_HOME/bin/java" -Xmx256m -cp target/review-2 ColdAfterKill "$HERE/record.txt" "${TROUBLE:-1}"
