#!/usr/bin/env bash
# Measures the balancing policies side by side on real processes over loopback.
# usage: run.sh [--binary FILE] quick|full [--append FILE] [--scenario NAME]... [--policy NAME]...
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
exec python3 "$here/bench.py" "$@"
