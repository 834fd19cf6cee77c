"""Protocols and connections to callers, back ends, the platform and peers."""
