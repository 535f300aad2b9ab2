#!/usr/bin/env bash
# Builds the stand-ins of the second review. They are plain Python and run in the environment that the build of the
# deploy file creates, so only their byte code is compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/harness
