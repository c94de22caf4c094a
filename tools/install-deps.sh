#!/usr/bin/env bash
# Installs every Debian package the build, the tests and the linters need.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache make
    libasio-dev prometheus-cpp-dev
    libboost-program-options-dev libboost-dev catch2
    libmsgpack-cxx-dev libhttp-parser-dev nlohmann-json3-dev
    libxxhash-dev libinih-dev
    clang-16 clang-format-16 clang-tidy-16
    python3
)

missing=()
for package in "${packages[@]}"; do
    state=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
    [[ $state == "install ok installed" ]] || missing+=("$package")
done
if ((${#missing[@]} == 0)); then
    exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
