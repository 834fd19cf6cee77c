"""Gateway membership, copies of the platform's store, and zone leases."""
