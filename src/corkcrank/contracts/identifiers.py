"""Distinct string types for identifiers, and generators of unique ones."""

import uuid
from typing import NewType

RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
TenantName = NewType("TenantName", str)
ServiceName = NewType("ServiceName", str)
PipelineName = NewType("PipelineName", str)
WorkerId = NewType("WorkerId", str)
MemberId = NewType("MemberId", str)
ZoneName = NewType("ZoneName", str)
Address = NewType("Address", str)
"""An ``ip:port`` pair."""


def new_request_id() -> RequestId:
    """Return a unique request id."""
    return RequestId(uuid.uuid4().hex)


def new_attempt_id() -> AttemptId:
    """Return a unique attempt id."""
    return AttemptId(uuid.uuid4().hex)
