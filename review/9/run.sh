#!/bin/bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
exec "$(dirname "$0")/../lib-2/run-case.sh" "$(cd "$(dirname "$0")" && pwd)"
