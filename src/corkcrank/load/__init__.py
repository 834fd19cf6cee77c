"""Load generation, local deployments and experiments; never imported by the daemons."""
