#!/usr/bin/env bash
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption
# out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/persimmond ] && [ -x target/review-2/case-10 ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 5 115 target/review-2/case-10 review/10/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
