"""Connections to callers, back ends, platform and peers."""
