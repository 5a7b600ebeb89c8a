#!/usr/bin/env bash
# The test command: compiles, runs every test (unit, property, whole-path with separate processes),
# then Spotless and Checkstyle. Randomised tests are seeded, so the verdict is the same every run.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/jdk.sh
exec mvn -B verify "$@"
