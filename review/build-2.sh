#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases review/6 and later, from the JDK alone.
# Run it after the build of the deploy file.
set -eu
. "$(dirname "${BASH_SOURCE[0]}")/../bin/lib.sh"
find_jdk
cd "$ROOT"
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -d target/review-2 review/standin-2/src/*.java
