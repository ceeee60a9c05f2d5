"""Types of the identifiers that processes exchange."""

import typing

HostId = typing.NewType("HostId", str)
DataCentre = typing.NewType("DataCentre", str)
Incarnation = typing.NewType("Incarnation", str)
"""One run of a process; a restart on the same host gets another one."""
DiskId = typing.NewType("DiskId", str)
"""Created with a data directory; a host with a new one is another voter."""
ServiceName = typing.NewType("ServiceName", str)
OperationName = typing.NewType("OperationName", str)
CallerName = typing.NewType("CallerName", str)
"""Name of the calling service, or OUTSIDE."""
ClientId = typing.NewType("ClientId", str)
"""Client that started the call tree: a fingerprint, never a secret."""
TreeId = typing.NewType("TreeId", str)
"""A call tree; assigned by the node that received its first call."""
CallId = typing.NewType("CallId", str)
"""One attempt of one call."""
WorkspaceName = typing.NewType("WorkspaceName", str)
KeyDigest = typing.NewType("KeyDigest", str)
"""Digest of a workspace's key; the key itself is a secret."""
IdempotencyKey = typing.NewType("IdempotencyKey", str)
Slot = typing.NewType("Slot", int)
"""Partition of a service's idempotency keys; each slot has one owner."""
ViewVersion = typing.NewType("ViewVersion", int)
Revision = typing.NewType("Revision", int)
SheetVersion = typing.NewType("SheetVersion", str)
RoutesVersion = typing.NewType("RoutesVersion", int)
"""Version of the routes document; 0 before the first document."""
AttemptId = typing.NewType("AttemptId", str)
"""One attempt of a caller; assigned by the caller."""
InstanceId = typing.NewType("InstanceId", str)
"""One run of a backend server; assigned by the backend server."""
BackendIncarnation = typing.NewType("BackendIncarnation", str)
"""One run of a backend server; distinct even if it reuses its instance id."""
BackendEndId = typing.NewType("BackendEndId", str)
"""One end of a backend server; assigned by the node that detects it."""
RequestDigest = typing.NewType("RequestDigest", bytes)
"""Digest of a request, the same for all its repeats."""
Term = typing.NewType("Term", int)
LogIndex = typing.NewType("LogIndex", int)

OUTSIDE = CallerName("outside")
"""Caller of requests from clients outside the system."""
ANY_CALLER = "*"
"""Value of the callers column that permits every service."""
NO_WORKSPACE = WorkspaceName("")
"""Workspace of requests that need no key."""
