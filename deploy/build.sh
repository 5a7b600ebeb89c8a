#!/usr/bin/env bash
# Builds the router for the platform under target/: its jars, a Java runtime with only the modules it needs, and
# a class data sharing (CDS) archive of the classes loaded during an end-to-end training run. The archive shortens
# restarts, because class loading and linking takes most of the time between process start and the first response.
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
classpath=$(ls target/onyxhinge/lib/*.jar | tr '\n' ':')
sed "s|@CLASSPATH@|${classpath%:}|" deploy/jvm.opts > target/onyxhinge/jvm.opts
# The archive is valid only for exactly these options and this class path, so every run reads them from one file.
java="target/runtime/bin/java @target/onyxhinge/jvm.opts"
main=org.onyxhinge.platform.PlatformMain
# The class list comes from one of two routers, each running in its own process. The simulated services and the clients
# run in a separate process to keep their classes out of the archive: each archived class adds to the startup time, and
# theirs together add a tenth of it.
rehearsal=target/onyxhinge/rehearsal
mkdir -p $rehearsal
$java $main demo --rounds 30 --routers-apart $rehearsal > $rehearsal/demo.log 2>&1 &
demo=$!
while [ ! -s $rehearsal/router-2.json ] && kill -0 $demo; do sleep 0.1; done
ONYXHINGE_CONFIG=$rehearsal/router-2.json $java $main run > $rehearsal/router-2.log 2>&1 &
second=$!
ONYXHINGE_CONFIG=$rehearsal/router-1.json $java -Xshare:off -XX:DumpLoadedClassList=target/onyxhinge/classes.lst \
  $main run > $rehearsal/router-1.log 2>&1 &
first=$!
wait $demo || { cat $rehearsal/*.log >&2; kill $first $second; exit 1; }
tail -n 1 $rehearsal/demo.log
kill $first $second
wait $first $second || true
$java -Xshare:dump -XX:+AOTClassLinking -XX:SharedClassListFile=target/onyxhinge/classes.lst \
  -XX:SharedArchiveFile=target/onyxhinge/router.jsa > target/onyxhinge/archive.log 2>&1
