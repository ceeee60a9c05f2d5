"""Digests by which repeats of a request are recognised."""

import hashlib

from mangobay import ids, requestbody
from mangobay.generated import messages

DIGEST_BYTES = 16
"""Bytes of a digest; nobody can find another request with the same one."""


def digest_of(call: messages.Call) -> ids.RequestDigest:
    """Returns the digest of a call.

    Calls with the same service, workspace, method, target and body are taken
    for repeats of the same request.  Headers do not count: they hold ids and
    times that differ with every repeat.  The lengths come first, so that no two
    different calls give the same input.  Of a large body its first bytes and its
    length count, as the rest is not known yet.
    """
    parts = (call.service, call.workspace, call.method, call.target)
    lengths = " ".join([str(len(part)) for part in parts])
    rest = requestbody.rest_of(call)
    if rest is not None:
        lengths += f" +{rest.length}"
    text = f"{lengths} {''.join(parts)}"
    data = text.encode("utf-8", "surrogateescape") + call.body
    return ids.RequestDigest(
        hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
    )
