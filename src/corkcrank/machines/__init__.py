"""Gateway membership, copies of the platform's store, and zone leases.

The modules serve two sets of programs, which use different words. :mod:`corkcrank.gateway` and
:mod:`corkcrank.controller`, the programs of Corkcrank's own interface, are *daemons*: they send
calls and orders to *back ends* and share rows in the platform's *table*. :mod:`corkcrank.node` is a
gateway for opaque calls: it sends them to *workers* and reads their list from the platform's
*store*. Back ends and workers are the processes that run models and stages.
"""
