#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python modules of this
# repository and need nothing beside the worker's own libraries: this checks that they can be loaded.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the build command of deploy/balancer.toml first" >&2; exit 2; }
PYTHONPATH="$PWD" .venv/bin/python - <<'END' || exit 2
import importlib

for name in ("case", "appliance", "fleet"):
    importlib.import_module(f"review.support_2.{name}")
for name in ("ajp_client", "ajp_server", "ajp_packets", "sockets"):
    importlib.import_module(f"tests.stand_ins.{name}")
print("the stand-ins of the cases 6 to 10 are ready")
END
