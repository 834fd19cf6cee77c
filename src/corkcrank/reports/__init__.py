"""Reports computed offline from the nodes' logs, for operators; no daemon imports this package."""
