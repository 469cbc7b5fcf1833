"""Starts one coordinator."""
import sys

from cranecleat.service.run import main

sys.exit(main())
