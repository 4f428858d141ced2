#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. Needs a JDK 25 and nothing else.
set -eu
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/find-jdk)
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -d target/review review/standins/*.java
