#!/usr/bin/env bash
# Regenerates the committed Cap'n Proto code from packages/wire/schema.
set -euo pipefail
cd "$(dirname "$0")/../packages/wire"
capnp compile --src-prefix=schema -I/usr/include -oc++:generated schema/*.capnp
