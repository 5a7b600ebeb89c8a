#!/usr/bin/env bash
# Compiles, runs all tests (unit, property, and end-to-end with separate processes), then runs Spotless and
# Checkstyle. Randomised tests use fixed seeds, so that every run gives the same result.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/jdk.sh
exec mvn -B verify "$@"
