#!/bin/bash
# Plays the case once. TROUBLE=1 (default): the primary crashes; 0: it does not. The planned work is the
# same: both replicas are released, and the nodes are restarted in turn.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
program=../standin/target/release/standin
[ -x "$program" ] && [ -x "$root/target/release/dandelionlink-node" ] || exit 2
timeout -k 2 100 "$program" leaving "$root" "$PWD"
code=$?
[ $code -le 2 ] || code=2
exit $code
