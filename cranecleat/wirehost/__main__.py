"""`python -m cranecleat.wirehost`: the adapter on standard input and output."""

import sys

from cranecleat.wirehost.host import serve

sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
