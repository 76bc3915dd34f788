"""Run the command line with ``python -m cactusvane.ui``."""

from cactusvane.ui import main

main()
