#!/usr/bin/env bash
# run-case.sh CASE FOLDER: runs one case and writes FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
home=$(bin/find-jdk) || exit 2
test -f target/review/Run.class || { echo "run review/build.sh first" >&2; exit 2; }
test -x target/gateway/runtime/bin/java || { echo "run deploy/build first" >&2; exit 2; }
work=$(mktemp -d) || exit 2
"$home/bin/java" -Xmx512m -cp target/review Run "$1" "$PWD" "$work" "$folder/record.txt" &
child=$!
trap 'kill "$child" 2>/dev/null' INT TERM
wait "$child"
result=$?
rm -rf "$work"
case $result in
	0 | 1) exit "$result" ;;
	*) exit 2 ;;
esac
