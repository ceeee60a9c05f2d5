"""Workspaces: who may send requests, by API key.

The system keeps digests of the keys wherever it does not have to return the
keys themselves, so a node holds no secret that it could leak.
"""

import collections.abc
import dataclasses
import hashlib

from mangobay import ids

DIGEST_BYTES = 16
"""Bytes of a key's digest."""
BEARER_SCHEME = "bearer"
BLANKS = " \t"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A workspace of a routes document.

    Attributes:
      name: unique in the document.
      key_digests: digests of its keys; empty if it has none.
      priority: 0 is the most important; None if routes alone decide.
      rate: most requests per second over all nodes; 0: no limit.
      burst: requests beyond the rate that are allowed at once.
    """

    name: ids.WorkspaceName
    key_digests: tuple[ids.KeyDigest, ...]
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0


def digest_key(key: str) -> ids.KeyDigest:
    """Returns the digest of an API key."""
    digest = hashlib.blake2b(
        key.encode("utf-8", "surrogateescape"), digest_size=DIGEST_BYTES
    )
    return ids.KeyDigest(digest.hexdigest())


def parse_bearer(header_values: collections.abc.Sequence[str]) -> str | None:
    """Returns the API key in the Authorization headers of a request.

    Args:
      header_values: the values of all headers of this name.

    Returns:
      The key, or None unless there is exactly one well-formed header: with two
      of them, a proxy in front may have checked another one.
    """
    if len(header_values) != 1:
        return None
    scheme, _, credentials = (
        header_values[0].strip(BLANKS).replace("\t", " ").partition(" ")
    )
    key = credentials.strip(BLANKS)
    if scheme.lower() != BEARER_SCHEME or not key.isascii():
        return None
    return key if key and " " not in key else None


class WorkspaceDirectory:
    """Finds the workspace that has a key.

    Attributes:
      by_digest: workspaces by the digests of their keys.
    """

    def __init__(self, workspaces: collections.abc.Iterable[Workspace]):
        self.by_digest = {
            digest: workspace
            for workspace in workspaces
            for digest in workspace.key_digests
        }

    def find(
        self, header_values: collections.abc.Sequence[str]
    ) -> Workspace | None:
        """Returns the workspace of a request, None without a known key.

        Args:
          header_values: the values of its Authorization headers.
        """
        key = parse_bearer(header_values)
        return None if key is None else self.by_digest.get(digest_key(key))


def workspace_errors(
    workspace: Workspace,
) -> collections.abc.Iterator[str]:
    """Yields the errors of a workspace on its own."""
    if workspace.rate < 0:
        yield "the rate is below 0"
    if workspace.burst < 0:
        yield "the burst is below 0"


def shared_by(
    workspaces: collections.abc.Iterable[Workspace],
) -> collections.abc.Iterator[tuple[Workspace, str]]:
    """Yields the workspaces whose name or key an earlier one has, and why."""
    names: set[ids.WorkspaceName] = set()
    owners: dict[ids.KeyDigest, ids.WorkspaceName] = {}
    for workspace in workspaces:
        if workspace.name in names:
            yield workspace, "the name is used twice"
        names.add(workspace.name)
        for digest in workspace.key_digests:
            owner = owners.setdefault(digest, workspace.name)
            if owner != workspace.name:
                yield workspace, f"shares a key with {owner}"
