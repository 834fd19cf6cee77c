"""The controller: publishes its zone's state, orders models and serves operators' plans."""
