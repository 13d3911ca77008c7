#!/usr/bin/env bash
# Plays the case: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
set -eu
. "$(dirname "${BASH_SOURCE[0]}")/../play.sh"
play PartCase review/2
