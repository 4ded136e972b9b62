"""The management calls, read from a request's method and target; nothing here reads a socket.

Source: the operators' page: ``GET /control/ready``, ``POST /control/servers/ID/offline`` and ``.../online``. Ours:
``GET /control/members``, ``/control/quota`` and ``/control/policy``, and to the last ``POST``: a document with the
version that it is made for in ``?base=N``, ``.../back?base=N``, ``.../abort?digest=D``, ``.../settle``, ``.../begin``.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

PREFIX = b"/control/"
VIEWS = {
    b"/control/members": "members",
    b"/control/quota": "quota",
    b"/control/policy": "policy",
    b"/control/configuration": "configuration",
}
POLICY = re.compile(rb"/control/policy(?:/(back|abort|settle|begin))?")
BASE, DIGEST = re.compile(rb"base=(\d{1,9})"), re.compile(rb"digest=([0-9a-f]{32})")
SERVER = re.compile(rb"/control/servers/([^/?#]{1,256})/(offline|online)")
ID = re.compile(r"[\x21-\x7e]{1,200}", re.ASCII)  # printable, without spaces: what discovery's ids are made of


@dataclass(frozen=True, slots=True)
class Call:
    """A call in good form: ``ready``, a ``view``, or a server (by its id in discovery) to be taken ``out`` or back."""

    ready: bool = False
    server: str = ""
    out: bool = False
    view: str = ""  # of which part of the gateway
    policy: Policy | None = None


@dataclass(frozen=True, slots=True)
class Policy:
    """What is asked of the policy that all gateways share: propose (the body), back, abort, settle or begin."""

    what: str
    base: int = 0
    digest: str = ""


@dataclass(frozen=True, slots=True)
class Wrong:
    """A call that is not one: the status it is answered with, and why."""

    status: int
    reason: str


def read_call(method: bytes, target: bytes) -> Call | Wrong:
    """Read a call; a path we do not have is 404, a method it does not take is 405, a spoilt id is 400."""
    path, _, query = target.partition(b"?")
    if path == b"/control/ready":
        return Call(ready=True) if method in (b"GET", b"HEAD") else Wrong(405, "ready takes GET")
    found = POLICY.fullmatch(path)
    if found is not None and method == b"POST":
        return read_policy((found[1] or b"propose").decode(), query)
    if path in VIEWS:
        return Call(view=VIEWS[path]) if method in (b"GET", b"HEAD") else Wrong(405, "views take GET")
    if found is not None:
        return Wrong(405, "changes of policy take POST")
    found = SERVER.fullmatch(path)
    if found is None:
        return Wrong(404, "no such call")
    if method != b"POST":
        return Wrong(405, "servers are taken out and back with POST")
    try:
        server = unquote_to_bytes(found[1]).decode("utf-8")
    except UnicodeDecodeError:
        return Wrong(400, "server id is not UTF-8")
    if not ID.fullmatch(server):
        return Wrong(400, "server id is empty, too long or has spaces")
    return Call(server=server, out=found[2] == b"offline")


def read_policy(what: str, query: bytes) -> Call | Wrong:
    """Read a call on the policy."""
    base, digest = BASE.fullmatch(query), DIGEST.fullmatch(query)
    if what in ("propose", "back") and base is None:
        return Wrong(400, "the version that it is made for is missing: ?base=N")
    if what == "abort" and digest is None:
        return Wrong(400, "the digest of the change is missing: ?digest=D")
    return Call(policy=Policy(what, int(base[1]) if base else 0, digest[1].decode() if digest else ""))
