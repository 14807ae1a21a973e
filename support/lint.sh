#!/usr/bin/env bash
# Checks formatting (clang-format) and runs clang-tidy: support/lint.sh [BUILD_FOLDER]
# A file whose text, headers and configuration are unchanged since its last clean run is skipped.
set -euo pipefail
cd "$(dirname "$0")/.."
folder="${1:-build}"
mapfile -t sources < <(git ls-files -co --exclude-standard 'packages/*.cc' 'packages/*.h' 'support/*.cc' \
  | grep -v /generated/)
clang-format --dry-run --Werror "${sources[@]}"
cache="${XDG_CACHE_HOME:-$HOME/.cache}/persimmonproxy-tidy"
mkdir -p "$cache"
headers=$(cat .clang-tidy $(printf '%s\n' "${sources[@]}" | grep '\.h$' | sort) | sha256sum | cut -c1-16)
check() {
  local key
  key="$cache/$(cat "$1" | sha256sum | cut -c1-32)-$headers"
  [ -e "$key" ] && return 0
  clang-tidy --quiet -p "$folder" "$1" 2>/dev/null >"/tmp/tidy-$$-${1//\//_}" \
    && touch "$key" || { cat "/tmp/tidy-$$-${1//\//_}"; return 1; }
  rm -f "/tmp/tidy-$$-${1//\//_}"
}
export -f check
export folder cache headers
printf '%s\n' "${sources[@]}" | grep '\.cc$' | xargs -P "$(nproc)" -I{} bash -c 'check {}'
