#!/usr/bin/env bash
# 1 if the rule of claim.txt was broken, 0 if it held, 2 if the test could not run. TROUBLE=0: without the disruption.
exec "$(dirname "$0")/../run-case" 3
