"""Reads what the platform tells a gateway at its start."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import ujson

from petrelhall.decide import interface as api
from petrelhall.decide.settings import Section, SettingsError, read_settings
from petrelhall.net.stream import Address, parse_address


class ConfigError(ValueError):
    """A configuration that cannot be used; the text names the field."""


@dataclass(frozen=True)
class Config:
    """One gateway's configuration."""

    name: str
    listen: Address
    discovery: Address
    mgmt: Address | None  # where operators call; absent on older days
    seed: int
    sockets: int
    memory_mb: float
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    counter: Address | None
    known_servers: Any  # discovery's last answer, read by discovery's own reader
    settings: api.Settings
    zone_names: tuple[str, ...]  # the zones' names, by number
    classes: tuple[str, ...]  # names, by number
    plans: tuple[str, ...]
    conn_idle_ms: float
    connect_timeout_ms: float


def load(environment: Mapping[str, str], reloading: bool = False) -> Config:
    """Read the file that the environment names; the variables win over what it says of the same things.

    Read ``reloading``, the file's word on discovery wins: the environment is that of the start, and would for ever
    lead back to an address that was left.
    """
    prefix = "EDGE_"
    path = environment.get(prefix + "CONFIG")
    if not path:
        raise ConfigError(f"{prefix}CONFIG: must name the configuration file")
    try:
        with open(path, "rb") as file:
            value = ujson.loads(file.read())
    except OSError as error:
        raise ConfigError(f"{prefix}CONFIG: cannot read {path}: {os.strerror(error.errno or 0)}") from error
    except ValueError as error:
        raise ConfigError(f"{prefix}CONFIG: {path} is not JSON: {error}") from error
    if isinstance(value, dict):
        for key in ("name", "listen", "discovery", "mgmt"):
            newer = reloading and key == "discovery" and value.get(key)
            if environment.get(prefix + key.upper()) and not newer:
                value[key] = environment[prefix + key.upper()]
    try:
        return read(Section("config", value))
    except SettingsError as error:
        raise ConfigError(str(error)) from error


def read(top: Section) -> Config:
    """Turn the decoded file into a configuration."""
    profile = top.section("settings")
    limits = profile.section("Limits")
    return Config(
        name=top.text("name") or "gateway",
        listen=address(top, "listen"),
        discovery=address(top, "discovery"),
        mgmt=optional_address(top, "mgmt"),
        seed=seed(top),
        sockets=int(top.section("limits").number("sockets", 1024.0)),
        memory_mb=top.section("limits").number("memory_mb", 128.0),
        peer_listen=optional_address(top, "peer_listen"),
        peers=tuple(to_address(f"config.peers[{i}]", text) for i, text in enumerate(top.texts("peers"))),
        peers_all=optional_address(top, "peers_all"),
        counter=optional_address(top, "counter"),
        known_servers=top.values.get("known"),
        settings=read_settings(profile.values),
        zone_names=profile.texts("Areas"),
        classes=tuple(grade.text("Name") for grade in profile.sections("Grades")),
        plans=tuple(plan.text("Name") for plan in profile.sections("Packages")),
        conn_idle_ms=limits.number("ConnIdleMs", 30000.0),
        connect_timeout_ms=limits.number("ConnectTimeoutMs", 250.0),
    )


def seed(top: Section) -> int:
    """Read the seed: hex digits, or a whole number."""
    value = top.values.get("seed")
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    try:
        return int(top.text("seed"), 16)
    except ValueError:
        raise SettingsError("config.seed: must be hex digits") from None


def address(top: Section, key: str) -> Address:
    """Read an address that must be there."""
    return to_address(f"{top.name}.{key}", top.text(key))


def optional_address(top: Section, key: str) -> Address | None:
    """Read an address that may be absent."""
    return to_address(f"{top.name}.{key}", top.text(key)) if top.text(key) else None


def to_address(name: str, text: str) -> Address:
    """Read host:port for a named field."""
    try:
        return parse_address(text)
    except ValueError:
        raise SettingsError(f"{name}: must be host:port, not {text!r}") from None
