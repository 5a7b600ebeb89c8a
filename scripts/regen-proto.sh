#!/usr/bin/env bash
# Regenerates the committed protobuf classes of onyxhinge-api from admin.proto.
# The build does not run this script: the generated code is committed, so building needs no protoc.
set -euo pipefail
cd "$(dirname "$0")/.."
case "$(uname -m)" in
  aarch64 | arm64) platform=linux-aarch_64 ;;
  *) platform=linux-x86_64 ;;
esac
out=$(mktemp -d)
mvn -q dependency:copy -Dartifact=com.google.protobuf:protoc:4.36.2:exe:$platform -DoutputDirectory="$out"
chmod +x "$out"/protoc-*.exe
rm -rf onyxhinge-api/src/main/java/org/onyxhinge/api/v1
"$out"/protoc-*.exe --proto_path=onyxhinge-api/src/main/proto --java_out=onyxhinge-api/src/main/java \
  onyxhinge-api/src/main/proto/onyxhinge/admin/v1/admin.proto
echo "regenerated into onyxhinge-api/src/main/java/org/onyxhinge/api/v1"
