#!/usr/bin/env bash
# Checks formatting (clang-format) and runs clang-tidy: support/lint.sh [BUILD_FOLDER]
# clang-tidy skips a source if it, the project headers that it includes and .clang-tidy are unchanged
# since a run without findings.
set -euo pipefail
cd "$(dirname "$0")/.."
folder="${1:-build}"
mapfile -t sources < <(git ls-files -co --exclude-standard 'packages/*.cc' 'packages/*.h' 'platform/*.cc' 'platform/*.h' 'support/*.cc' \
  | grep -v /generated/ | while read -r file; do [ -e "$file" ] && echo "$file"; done)
clang-format --dry-run --Werror "${sources[@]}"
cache="${XDG_CACHE_HOME:-$HOME/.cache}/persimmonproxy-tidy"
mkdir -p "$cache"
includes=()
for dir in packages/*/include packages/*/src packages/*/test platform/include platform/src platform/test; do includes+=("-I$dir"); done
for dir in packages/*/generated; do includes+=("-isystem" "$dir"); done
check() {
  local key log
  key="$cache/$(g++ -std=c++20 -D_TURN_OFF_PLATFORM_STRING -MM -MG ${includes_text} "$1" 2>/dev/null \
    | tr -d '\\' | tr ' ' '\n' | grep -E '\.(cc|h)$' | sort -u \
    | while read -r file; do [ -e "$file" ] && cat "$file"; done | cat - .clang-tidy | sha256sum | cut -c1-32)"
  [ -e "$key" ] && return 0
  log=$(mktemp)
  if clang-tidy --quiet -p "$folder" "$1" 2>/dev/null >"$log"; then touch "$key"; rm "$log"; return 0; fi
  cat "$log"; rm "$log"; return 1
}
export -f check
export folder cache includes_text="${includes[*]}"
# clang-tidy needs a compile command, so only files that the build compiles are checked.
printf '%s\n' "${sources[@]}" | grep '\.cc$' | while read -r file; do
  if grep -q "/$file\"" "$folder/compile_commands.json"; then echo "$file"; fi
done | xargs -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'check {}'
