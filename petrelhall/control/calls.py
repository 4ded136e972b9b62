"""The management calls, read from a request's method and target; nothing here reads a socket.

Source: the operators' page: ``GET /control/ready``, ``POST /control/servers/ID/offline`` and ``.../online``. Ours:
``GET /control/members`` and ``/control/quota``.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

PREFIX = b"/control/"
VIEWS = {b"/control/members": "members", b"/control/quota": "quota"}
SERVER = re.compile(rb"/control/servers/([^/?#]{1,256})/(offline|online)")
ID = re.compile(r"[\x21-\x7e]{1,200}", re.ASCII)  # printable, without spaces: what discovery's ids are made of


@dataclass(frozen=True, slots=True)
class Call:
    """A call in good form: ``ready``, a ``view``, or a server (by its id in discovery) to be taken ``out`` or back."""

    ready: bool = False
    server: str = ""
    out: bool = False
    view: str = ""  # of which part of the gateway


@dataclass(frozen=True, slots=True)
class Wrong:
    """A call that is not one: the status it is answered with, and why."""

    status: int
    reason: str


def read_call(method: bytes, target: bytes) -> Call | Wrong:
    """Read a call; a path we do not have is 404, a method it does not take is 405, a spoilt id is 400."""
    path = target.partition(b"?")[0]
    if path == b"/control/ready":
        return Call(ready=True) if method in (b"GET", b"HEAD") else Wrong(405, "ready takes GET")
    if path in VIEWS:
        return Call(view=VIEWS[path]) if method in (b"GET", b"HEAD") else Wrong(405, "views take GET")
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
