#!/usr/bin/env bash
# Sets up a new Debian machine: selects a JDK 21 or newer (Temurin 25 where the image has it), installs Maven if
# missing, downloads the dependencies from Maven Central, and builds the project without running the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v mvn >/dev/null 2>&1; then
  apt-get update && apt-get install -y maven
fi
. scripts/jdk.sh
mvn -B -q -DskipTests package
echo "onyxhinge built; try: bin/onyxhinge-tools demo"
