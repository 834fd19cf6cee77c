"""Callers' connections: listening, accepting, idle timeouts, draining, and gateway responses.

State: the open connections, whether the node accepts, the schedule of a planned stop, and
the calls without a response so far. Depends on telemetry only; decides nothing about workers.
"""
