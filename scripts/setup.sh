#!/usr/bin/env bash
# Set-up on a fresh Debian machine: a JDK 21+ (Temurin 25 where the image has it), Maven, and the
# project's dependencies from Maven Central, then a build without tests.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v mvn >/dev/null 2>&1; then
  apt-get update && apt-get install -y maven
fi
. scripts/jdk.sh
mvn -B -q -DskipTests package
echo "onyxhinge built; try: bin/onyxhinge-tools demo"
