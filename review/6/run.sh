#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
program="$root/target/review-2/release/spoiled-event"
daemon="$root/target/release/holdpointd"
if [ ! -x "$program" ] || [ ! -x "$daemon" ]; then
  echo "build first: the deploy file's build, then review/build-2.sh" | tee "$folder/record.txt"
  exit 2
fi
timeout -k 5 110 "$program" "$daemon" "$folder/record.txt" text
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
