#!/usr/bin/env bash
# Case 7; see claim.txt. Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
. scripts/jdk.sh || exit 2
[ -d target/review-2 ] && [ -x target/runtime/bin/java ] || exit 2
exec "$JAVA_HOME/bin/java" -cp target/review-2 Case7 review/7
