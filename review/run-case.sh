#!/usr/bin/env bash
# Runs one case: run-case.sh CASE FOLDER. FOLDER/run.sh calls it.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
case_name=$1
case_folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.." || exit 2
program=target/release/review-standins
if [ ! -x "$program" ] || [ ! -x target/release/corkfield ]; then
  echo "not built: run the build command of deploy/service.toml, then review/build.sh" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
driver=
# Ends what this script started, and nothing else.
clean_up() {
  [ -z "$driver" ] || kill -KILL "$driver" 2>/dev/null
  if [ -f "$folder/pids" ]; then
    while read -r pid; do
      if { tr '\0' ' ' <"/proc/$pid/cmdline" | grep -q -F "$folder"; } 2>/dev/null; then
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
      fi
    done <"$folder/pids"
  fi
  rm -rf "$folder"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
"$program" "$case_name" "$folder" "$case_folder/record.txt" &
driver=$!
wait "$driver"
status=$?
driver=
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
