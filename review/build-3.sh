#!/bin/sh
# Builds the stand-ins of the cases 11 to 14. They are Python modules that need the libraries in
# target/deps only, which the build of the deploy file has put there: compiled here, and imported.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps
export PYTHONPATH
python3 -m compileall -q standins review/lab_3
python3 -c "import standins.platform_store, standins.platform_backend, standins.duty_api"
python3 -c "import review.lab_3.cut_link, review.lab_3.lab, review.lab_3.store"
python3 -c "import review.lab_3.stream_server, review.lab_3.unframed_server"
