#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 runs it without the disruption.
# What was sent, answered and run is in record.txt.
cd "$(dirname "$0")" && exec timeout -k 3 116 python3 ./case.py record.txt "${TROUBLE:-1}"
