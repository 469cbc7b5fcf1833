"""Starts one coordinator, or with arguments the command line."""

import sys

if len(sys.argv) > 1:
    from cranecleat.commands import main
else:
    from cranecleat.service.run import main

sys.exit(main())
