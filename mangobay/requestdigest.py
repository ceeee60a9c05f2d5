"""Digests by which repeats of a request are recognised."""

import hashlib

from mangobay import ids
from mangobay.generated import messages

DIGEST_BYTES = 16
"""Bytes of a digest; nobody can find another request with the same one."""


def digest_of(call: messages.Call) -> ids.RequestDigest:
    """Returns the digest of a call.

    Calls with the same service, workspace, method, target and body are taken
    for repeats of the same request.  Headers do not count: they hold ids and
    times that differ with every repeat.  Each part is preceded by its length,
    so that no two different calls give the same input.
    """
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (call.service, call.workspace, call.method, call.target):
        data = part.encode("utf-8", "surrogateescape")
        state.update(len(data).to_bytes(4))
        state.update(data)
    state.update(call.body)
    return ids.RequestDigest(state.digest())
