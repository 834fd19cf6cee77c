"""``python -m soak``: runs soaks from the command line."""

from soak.run import main

main()
