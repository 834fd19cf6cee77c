"""The gateway of the product's own interface: pipelines, claims, quotas.

Opaque calls on the users' platform are served by :mod:`corkcrank.node`.
"""
