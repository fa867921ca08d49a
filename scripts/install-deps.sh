#!/usr/bin/env bash
# Installs those Debian packages that the build, the checks and the demo need and that are missing.
set -euo pipefail
packages=(
  g++ clang clang-format clang-tidy cmake ninja-build ccache curl make python3
  libabsl-dev libcereal-dev libboost-dev libmicrohttpd-dev libcurl4-openssl-dev libcxxopts-dev
  liblog4cplus-dev libexpected-dev libprotobuf-dev nlohmann-json3-dev libxxhash-dev libgtest-dev
  libgmock-dev libbenchmark-dev librapidcheck-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq "${missing[@]}"
