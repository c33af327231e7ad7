#!/bin/sh
# Shows the case with real processes. TROUBLE=0 leaves the crashes out.
exec python3 "$(dirname "$0")/case.py"
