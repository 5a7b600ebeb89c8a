#!/usr/bin/env bash
# Builds the router for the platform: the jars under target/onyxhinge/lib and a Java runtime with just
# the modules it needs under target/runtime, so that the run line names nothing of the machine's.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/jdk.sh
mvn -B -q -DskipTests -pl platform -am package
rm -rf target/onyxhinge target/runtime
mkdir -p target/onyxhinge/lib
cp platform/target/lib/*.jar target/onyxhinge/lib/
cp platform/target/onyxhinge-platform-*.jar target/onyxhinge/lib/onyxhinge-platform.jar
"$JAVA_HOME/bin/jlink" --output target/runtime --strip-debug --no-header-files --no-man-pages \
  --add-modules java.base,java.logging,java.management,java.naming,java.xml,java.sql,java.desktop,jdk.unsupported
