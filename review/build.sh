#!/bin/sh
# The stand-ins of these cases are Python 3 scripts of the standard library: there is nothing to build.
# The project itself is built by the command of deploy/balancer.toml.
exec python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 9) else 2)'
