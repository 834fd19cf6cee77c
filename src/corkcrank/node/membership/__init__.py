"""Heartbeats between nodes, pulls from peers, and the server for peers' requests.

State: what is pending for sending or pulling; the members themselves are in
:mod:`corkcrank.machines.fleet`. Called by the process; it hands peers' requests to the
owners of stages and engines.
"""
