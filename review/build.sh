#!/bin/sh
# Builds the stand-ins that the scripts of review/ start, with the standard library alone. They start the balancer itself
# by the `run` command of deploy/balancer.toml, so the `build` command of that file has to be run as well.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standins review/standins/main.rs
