"""Where a call enters: its head and body read, route and tenant found, and a run chosen.

State: the calls being served, for a stop. Called by the callers' server; it may call the
runs of plain calls and of streams.
"""
