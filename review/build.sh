#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review. Run it after the build of the deploy file.
set -eu
. "$(dirname "${BASH_SOURCE[0]}")/../bin/lib.sh"
find_jdk
cd "$ROOT"
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" --release 25 -d target/review review/standin/*.java review/[1-5]/*.java
