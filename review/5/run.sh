#!/usr/bin/env bash
# Runs the case. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 there is
# no disruption. Writes record.txt beside this script.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review-2/case-$(basename "$here")
[ -x "$program" ] && [ -x "$root/target/dockdyke" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 1 118 "$program" "$root" "$folder" "$here/record.txt"
case $? in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac
