#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts (cases 4 and up) into target/review-2. Needs the build of
# deploy/system.toml for the routers that the scripts start, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/jdk.sh
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" --release 21 -Xlint:all -d target/review-2 review/standins-2/*.java
