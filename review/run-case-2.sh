#!/usr/bin/env bash
# run-case-2.sh NUMBER CASE: runs a case of the second review with the programs that were built, and
# writes review/NUMBER/record.txt. Exit status: 0 the rule held, 1 it was broken, 2 the case could
# not run. With TROUBLE=0 the run has no disruption.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
program=$root/target/release/corkfield-review-cluster-2
if [ ! -x "$program" ] || [ ! -x "$root/target/release/corkfield" ]; then
  echo "not built: cargo build --release, then review/build-2.sh" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2

# The case and all that it starts are one process group, which is ended whatever happens.
set -m
TMPDIR=$folder "$program" "$2" "$root" "$root/review/$1/record.txt" &
group=$!
set +m
clean_up() {
  kill -KILL -- "-$group" 2>/dev/null
  rm -rf "$folder"
}
trap clean_up EXIT
trap 'exit 2' INT TERM HUP
wait "$group"
status=$?
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
