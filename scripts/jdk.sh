# Sourced by the scripts and .ci/run; selects a JDK 21 or newer for Maven and the launch scripts.
# onyxhinge needs Java 21 for pattern matching in switch; Debian 12's default JDK is 17.
if [ -z "${JAVA_HOME:-}" ] || ! "$JAVA_HOME/bin/java" -version 2>&1 | grep -qE 'version "(2[1-9]|[3-9][0-9])'; then
  for candidate in /usr/lib/jvm/temurin-25-jdk-* /usr/lib/jvm/temurin-21-jdk-* /usr/lib/jvm/java-21-openjdk-*; do
    if [ -x "$candidate/bin/java" ]; then
      export JAVA_HOME="$candidate"
      break
    fi
  done
fi
if [ -z "${JAVA_HOME:-}" ] || [ ! -x "$JAVA_HOME/bin/java" ]; then
  echo "onyxhinge: no JDK 21 or newer found; set JAVA_HOME to one" >&2
  return 1 2>/dev/null || exit 1
fi
export PATH="$JAVA_HOME/bin:$PATH"
