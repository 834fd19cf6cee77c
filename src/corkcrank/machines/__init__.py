"""Entry machines and back ends."""
