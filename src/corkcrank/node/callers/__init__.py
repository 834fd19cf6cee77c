"""Callers' connections: listening, accepting, idle ones, draining, and answers of our own.

State: the open connections, whether the node accepts, the schedule of a planned stop, and
the calls that have no answer yet. Calls telemetry only; decides nothing about workers.
"""
