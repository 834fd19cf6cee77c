"""What operators read from the nodes' logs afterwards; no daemon imports this package."""
