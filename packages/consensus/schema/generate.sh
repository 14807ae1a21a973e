#!/usr/bin/env bash
# Regenerates the committed Cap'n Proto code of this package.
set -euo pipefail
cd "$(dirname "$0")/.."
capnp compile --src-prefix=schema -I/usr/include -oc++:generated schema/*.capnp
