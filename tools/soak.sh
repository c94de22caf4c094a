#!/usr/bin/env bash
# Plays the seeds of platform/soak/seeds.txt, some at a time. Usage: tools/soak.sh BUILD_DIR
set -euo pipefail
build=$1
at_a_time=3
grep -v '^#' platform/soak/seeds.txt | cut -d' ' -f1,2 |
    xargs -P "$at_a_time" -L1 sh -c \
        "'$build/sniperock_soak' --program '$build/sniperock' --seed \$0 --seconds \$1"
