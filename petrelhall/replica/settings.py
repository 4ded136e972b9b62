"""The file of a control process: typed, checked, with errors of one line."""

from __future__ import annotations

from dataclasses import replace
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from petrelhall.distribution.timing import Timing
from petrelhall.net.stream import Address, parse_address
from petrelhall.operator.file import explain

DESCRIBED = "schema of the file of a petrelhall control process"


class ControlFileError(ValueError):
    """A file that cannot be used; the text names the field, the value and the reason."""


class ControlFile(Struct, frozen=True, forbid_unknown_fields=True):
    """One control process. ``replicas`` and ``lease_ms`` must be the same in the files of all control processes."""

    role: Annotated[Literal["replica", "distributor"], Meta(description="what this process is")]
    number: Annotated[
        int, Meta(ge=0, le=255, description="of this process among those of its role; a replica's place in `replicas`")
    ]
    replicas: Annotated[
        tuple[str, ...],
        Meta(
            min_length=3,
            max_length=9,
            description="HOST:PORT of each control replica, for TCP and UDP; one in each region",
        ),
    ]
    listen: Annotated[str, Meta(description="HOST:PORT at which a distributor serves; empty for a replica")] = ""
    folder: Annotated[
        str, Meta(description="folder that lasts, for a replica's votes and content; empty: nothing is kept")
    ] = ""
    lease_ms: Annotated[
        int,
        Meta(ge=300, le=60000, description="for which a gateway may admit after it last asked; a silent one costs it"),
    ] = 1500
    whole_slots: Annotated[
        int, Meta(ge=1, le=4096, description="gateways that fetch the whole configuration from this process at once")
    ] = 16
    kept_changes: Annotated[
        int, Meta(ge=1, le=100000, description="changes kept for those who are behind; further behind is the whole")
    ] = 512

    @property
    def timing(self) -> Timing:
        """Give the timing parameters."""
        return replace(Timing(), lease_ms=self.lease_ms, whole_slots=self.whole_slots, kept_deltas=self.kept_changes)

    @property
    def replica_addresses(self) -> tuple[Address, ...]:
        """Give where the replicas are."""
        return tuple(map(parse_address, self.replicas))

    @property
    def listen_address(self) -> Address:
        """Give where this process listens."""
        return parse_address(self.replicas[self.number] if self.role == "replica" else self.listen)


def parse(content: bytes) -> ControlFile:
    """Read a file's bytes (ControlFileError)."""
    try:
        file: ControlFile = msgspec.json.decode(content, type=ControlFile)
    except msgspec.ValidationError as error:
        raise ControlFileError(explain(str(error), msgspec.json.decode(content), ControlFile)) from None
    except msgspec.DecodeError as error:
        raise ControlFileError(f"not JSON: {error}") from None
    reason = contradiction(file)
    if reason:
        raise ControlFileError(reason)
    return file


def contradiction(file: ControlFile) -> str:
    """Give what is right by itself and cannot hold together; empty where there is nothing."""
    for place, text in enumerate(file.replicas):
        if not is_address(text):
            return f"replicas[{place}]: {text!r} is no HOST:PORT"
        if file.replicas.index(text) != place:
            return f"replicas[{place}]: {text!r} is there twice"
    if file.role == "replica":
        if file.number >= len(file.replicas):
            return f"number: {file.number} is no place in replicas, which are {len(file.replicas)}"
        if file.listen:
            return "listen: a replica listens at its address in replicas; leave it out"
        return ""
    if not is_address(file.listen):
        return f"listen: {file.listen!r} is no HOST:PORT"
    if file.listen in file.replicas:
        return f"listen: {file.listen!r} is a replica's"
    if file.folder:
        return "folder: a distributor keeps nothing; leave it out"
    return ""


def is_address(text: str) -> bool:
    """Tell whether a text is an address."""
    try:
        parse_address(text)
    except ValueError:
        return False
    return True


def read(path: str) -> ControlFile:
    """Read and check a file (ControlFileError)."""
    try:
        with open(path, "rb") as file:
            content = file.read()
    except OSError as error:
        raise ControlFileError(f"{path}: cannot read: {error.strerror}") from error
    try:
        return parse(content)
    except ControlFileError as error:
        raise ControlFileError(f"{path}: {error}") from error


def schema() -> bytes:
    """Give the JSON schema of the file."""
    found = {"title": DESCRIBED, **msgspec.json.schema(ControlFile)}
    return msgspec.json.format(msgspec.json.encode(found, order="sorted"), indent=2) + b"\n"
