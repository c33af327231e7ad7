#!/bin/sh
# Shows the case with real processes. With TROUBLE=0 no engine fails a request.
exec python3 "$(dirname "$0")/case.py"
