#!/usr/bin/env bash
# Installs the Debian packages that the build needs, if any of them is missing.
set -euo pipefail
packages=(g++ cmake curl jq ninja-build ccache pkg-config clang-format clang-tidy
  libcpprest-dev capnproto libcapnp-dev prometheus-cpp-dev libtclap-dev libspdlog-dev
  cpputest libcpputest-dev libinih-dev librapidcheck-dev libxxhash-dev libssl-dev libcereal-dev libboost-dev)
if ! dpkg-query -W -f='${db:Status-Status}\n' "${packages[@]}" 2>/dev/null \
  | awk -v want="${#packages[@]}" '$1 == "installed" { n++ } END { exit n < want }'; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${packages[@]}" >/dev/null
fi
