#!/usr/bin/env bash
# Builds the stand-ins and the cases that are scripts, into target/review-standins. Needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/jdk.sh
rm -rf target/review-standins
mkdir -p target/review-standins
javac -d target/review-standins review/standins/*.java
