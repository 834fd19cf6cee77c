"""Requests to workers that this gateway cannot reach, sent through gateways that can.

State: open requests by member, and recent answers on which members reach a worker.
"""
