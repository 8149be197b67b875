#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linter need.
set -euo pipefail

packages=(
  g++ cmake make ninja-build clang-format clang-tidy
  libpistache-dev libwebsocketpp-dev libboost-dev libboost-system-dev nlohmann-json3-dev libsimdjson-dev
  libabsl-dev liblog4cxx-dev libexpected-dev libcriterion-dev librapidcheck-dev
  libxxhash-dev libsodium-dev libssl-dev
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi

sudo=()
if [ "$(id -u)" -ne 0 ]; then
  sudo=(sudo)
fi
"${sudo[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
