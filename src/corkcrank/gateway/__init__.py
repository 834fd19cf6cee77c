"""The gateway of Corkcrank's own interface: pipelines, claims and tenant quotas.

:mod:`corkcrank.node` serves opaque calls on the users' platform.
"""
