"""Names of the things that the processes talk about."""

import typing

HostId = typing.NewType("HostId", str)
DataCentre = typing.NewType("DataCentre", str)
Incarnation = typing.NewType("Incarnation", str)
"""One run of a process: a restart on the same host is another."""
DiskId = typing.NewType("DiskId", str)
"""Made with a data folder: an emptied disk is another voter."""
ServiceName = typing.NewType("ServiceName", str)
OperationName = typing.NewType("OperationName", str)
CallerName = typing.NewType("CallerName", str)
"""The calling service, or OUTSIDE."""
ClientId = typing.NewType("ClientId", str)
"""Who entered the call tree: a fingerprint, never a secret."""
TreeId = typing.NewType("TreeId", str)
"""A call tree, as named by the node at which it entered."""
CallId = typing.NewType("CallId", str)
"""One attempt of one hop."""
IdempotencyKey = typing.NewType("IdempotencyKey", str)
Slot = typing.NewType("Slot", int)
"""Share of a service's idempotency keys; each slot has one owner."""
ViewVersion = typing.NewType("ViewVersion", int)
Revision = typing.NewType("Revision", int)
SheetVersion = typing.NewType("SheetVersion", str)
RoutesVersion = typing.NewType("RoutesVersion", int)
"""Of the routes document; 0 before the first."""
AttemptId = typing.NewType("AttemptId", str)
"""One attempt of a caller, as the caller named it."""
InstanceId = typing.NewType("InstanceId", str)
"""One incarnation of a backend server, as it names itself."""
Term = typing.NewType("Term", int)
LogIndex = typing.NewType("LogIndex", int)

OUTSIDE = CallerName("outside")
ANY_CALLER = "*"
"""In a sheet's callers: every service may call."""
