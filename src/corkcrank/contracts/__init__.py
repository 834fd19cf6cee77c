"""Agreements between tenants, operators and the system."""
