"""The node: serves opaque calls on the users' platform, one process a machine.

``program`` starts the process; each other job has a package of its own. Which package may
import which is listed in ``tests/test_layout.py``. Of the rest only reports import from here,
for constants. The product's own interface, with pipelines, claims and quotas, is
:mod:`corkcrank.gateway`.
"""
