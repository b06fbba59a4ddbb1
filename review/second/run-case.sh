#!/usr/bin/env bash
# run-case.sh N: runs case N with the built gateway. TROUBLE=0 leaves out the disruption. Exits with
# 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
gateway=$root/target/bin/jujubevalve-gateway
program=$root/target/review-2/case_$1
for file in "$gateway" "$program"; do
  if [ ! -x "$file" ]; then
    echo "missing: ${file#"$root"/}; run the build of deploy/system.toml and review/build-2.sh" >&2
    exit 2
  fi
done
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$root"
timeout --kill-after=2 116 "$program" "$gateway" "$folder" "$root/review/$1/record.txt"
case $? in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac
