#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
. ../../scripts/jdk.sh || exit 2
exec "$JAVA_HOME/bin/java" -cp ../../target/review-standins SilentStream "$PWD" "$(cd ../.. && pwd)"
