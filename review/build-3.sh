#!/usr/bin/env bash
# Builds the stand-ins of review/standin-3 that the scripts of the cases 11 to 15 start, into
# target/review-3. Needs the build of the deploy file, and no network.
set -eu
. "$(dirname "${BASH_SOURCE[0]}")/../bin/lib.sh"
find_jdk
rm -rf "$ROOT/target/review-3"
mkdir -p "$ROOT/target/review-3"
"$JAVA_HOME/bin/javac" -d "$ROOT/target/review-3" "$ROOT"/review/standin-3/*.java
