"""The node: serves opaque calls on the users' platform, one process per machine.

``program`` starts the process; each other function has its own package. The permitted imports
between packages are listed in ``tests/test_layout.py``. Outside the node only reports import
from here, for constants. The product's own interface, with pipelines, claims and quotas, is
:mod:`corkcrank.gateway`.
"""
