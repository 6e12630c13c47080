#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. Exit: 1 the rule was broken, 0 it held, 2 it could not run.
# TROUBLE=0 leaves out the disruption. Before: the build line of deploy/system.toml, and review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/rowan-core ] || { echo "build first" >&2; exit 2; }
exec review/bin/standin directory "$folder"
