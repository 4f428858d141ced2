#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/find-jdk)
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -Xlint:all -d target/review-2 review/standins-2/*.java
