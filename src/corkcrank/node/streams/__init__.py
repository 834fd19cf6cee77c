"""Calls whose answer is a stream of events: admission, engines, relay, resume.

State: one call's progress through its engines, gone with the call. Called by ingress; asks
stages for the call's inputs, and calls for attempts.
"""
