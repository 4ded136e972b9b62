"""Reads the configuration that the platform gives a gateway at startup."""

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
    """An invalid configuration; the message names the field."""


@dataclass(frozen=True)
class Config:
    """The configuration of one gateway."""

    name: str
    listen: Address
    discovery: Address
    mgmt: Address | None  # management address for operators; absent where the platform sets none
    seed: int
    sockets: int
    memory_mb: float
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    counter: Address | None
    known_servers: Any  # discovery's last response, not yet validated; parsed by the server registry
    settings: api.Settings
    zone_names: tuple[str, ...]  # by zone number
    classes: tuple[str, ...]  # names, by class number
    plans: tuple[str, ...]  # names, by plan number
    conn_idle_ms: float
    connect_timeout_ms: float


def load(environment: Mapping[str, str], reloading: bool = False) -> Config:
    """Read the file that the environment names; environment variables override the file's values.

    When ``reloading``, the file's discovery address overrides the variable: the environment still holds the value of
    the start and would always lead back to an address that is no longer in use.
    """
    prefix = "EDGE_"
    path = environment.get(prefix + "CONFIG")
    if not path:
        raise ConfigError(f"{prefix}CONFIG: must hold the path of the configuration file")
    try:
        with open(path, "rb") as file:
            value = ujson.loads(file.read())
    except OSError as error:
        raise ConfigError(f"{prefix}CONFIG: cannot read {path}: {os.strerror(error.errno or 0)}") from error
    except ValueError as error:
        raise ConfigError(f"{prefix}CONFIG: {path} is not JSON: {error}") from error
    if isinstance(value, dict):
        for key in ("name", "listen", "discovery", "mgmt"):
            file_wins = reloading and key == "discovery" and value.get(key)
            if environment.get(prefix + key.upper()) and not file_wins:
                value[key] = environment[prefix + key.upper()]
    try:
        return read_config(Section("config", value))
    except SettingsError as error:
        raise ConfigError(str(error)) from error


def read_config(top: Section) -> Config:
    """Convert the decoded file to a configuration."""
    profile = top.section("settings")
    limits = profile.section("Limits")
    return Config(
        name=top.text("name") or "gateway",
        listen=required_address(top, "listen"),
        discovery=required_address(top, "discovery"),
        mgmt=optional_address(top, "mgmt"),
        seed=read_seed(top),
        sockets=int(top.section("limits").number("sockets", 1024.0)),
        memory_mb=top.section("limits").number("memory_mb", 128.0),
        peer_listen=optional_address(top, "peer_listen"),
        peers=tuple(field_address(f"config.peers[{index}]", text) for index, text in enumerate(top.texts("peers"))),
        peers_all=optional_address(top, "peers_all"),
        counter=optional_address(top, "counter"),
        known_servers=top.values.get("known"),
        settings=read_settings(profile.values),
        zone_names=profile.texts("Areas"),
        classes=tuple(request_class.text("Name") for request_class in profile.sections("Grades")),
        plans=tuple(plan.text("Name") for plan in profile.sections("Packages")),
        conn_idle_ms=limits.number("ConnIdleMs", 30000.0),
        connect_timeout_ms=limits.number("ConnectTimeoutMs", 250.0),
    )


def read_seed(top: Section) -> int:
    """Read the seed: a string of hex digits, or an integer."""
    value = top.values.get("seed")
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    try:
        return int(top.text("seed"), 16)
    except ValueError:
        raise SettingsError("config.seed: must be hex digits") from None


def required_address(top: Section, key: str) -> Address:
    """Read a required address."""
    return field_address(f"{top.name}.{key}", top.text(key))


def optional_address(top: Section, key: str) -> Address | None:
    """Read an address that may be missing."""
    return field_address(f"{top.name}.{key}", top.text(key)) if top.text(key) else None


def field_address(name: str, text: str) -> Address:
    """Parse host:port; errors name the field."""
    try:
        return parse_address(text)
    except ValueError:
        raise SettingsError(f"{name}: must be host:port, not {text!r}") from None
