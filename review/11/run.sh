#!/bin/sh
# Shows the case with real processes. TROUBLE=0 leaves the crashes out, SEED=N draws the engines.
exec python3 "$(dirname "$0")/case.py"
