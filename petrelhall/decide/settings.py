"""Parses the settings that a gateway is given at its start, for the simulator's adapter and for the real gateway."""

from __future__ import annotations

from typing import Any

from petrelhall.decide import interface as api

EFFECTS = {
    "repeatable": api.Effect.REPEATABLE,
    "by_key": api.Effect.KEYED,
    "once": api.Effect.ONCE,
}


class SettingsError(ValueError):
    """A setting that is missing or invalid; the text begins with its name."""


def read_settings(profile: Any) -> api.Settings:
    """Convert the platform's settings object to ``Settings``; unknown keys are ignored."""
    top = Section("settings", profile)
    limits, rules, family = top.section("Limits"), top.section("Rules"), top.section("FamilyInfo")
    report, charges = top.section("Report"), top.section("Charges")
    try:
        return api.Settings(
            classes=tuple(read_class(class_section) for class_section in top.sections("Grades", required=True)),
            plans=tuple(read_plan(plan_section) for plan_section in top.sections("Packages")),
            position=top.integer("Position", 0),
            gateways=top.integer("Balancers", 1),
            zone=top.integer("Zone", 0),
            subscribe=top.text("MembershipMode") == "subscribe",
            ask_every_ms=rules.number("AskEveryMs", 10000.0),
            max_attempts=limits.integer("MaxAttempts", 1),
            second_copies=limits.flag("SecondCopies"),
            cancel=limits.flag("Cancel"),
            probes=limits.flag("Probes"),
            reports_with_answers=report.text("Source") == "piggyback",
            report_names=report.texts("Names"),
            peers=limits.flag("MayTell"),
            peer_messages_per_s=family.number("MailPerS", 0.0),
            counter=family.flag("SharedCounter"),
            counter_wait_ms=family.number("CountWaitMs", 0.0),
            meter_ms=family.number("MeterPeriodMs", 0.0),
            largest_units=family.number("Largest", 0.0) or 1.0,
            cost_after=family.flag("CostAfter"),
            max_retry_after_ms=limits.number("MaxRetryAfterMs", 0.0) * limits.flag("RetryAfter"),
            drain_grace_ms=rules.number("DrainGraceMs", 0.0),
            cold_from=rules.number("ColdFrom", 1.0),
            cold_ms=rules.number("ColdMs", 0.0),
            overload_factor=rules.number("OverloadFactor", 1.0),
            fall_ms=rules.number("FallMs", 1000.0),
            cross_zone_price=charges.number("CrossZone", 0.0),
            handshake_price=charges.number("Handshake", 0.0),
        )
    except SettingsError:
        raise
    except ValueError as error:  # a value that ``Settings`` itself rejects
        raise SettingsError(f"settings: {error}") from error


def read_class(section: Section) -> api.RequestClass:
    """Parse one request class."""
    effect = section.text("Effect")
    if effect not in EFFECTS:
        raise SettingsError(f"{section.name}.Effect: must be one of {', '.join(EFFECTS)}, not {effect!r}")
    return api.RequestClass(
        effect=EFFECTS[effect],
        aim_ms=section.number("PromiseMs"),
        deadline_ms=section.number("DeadlineMs"),
        worth=section.number("Worth", 1.0),
        late_worth=section.number("LateWorth", 0.0),
        group=section.text("Group") or "all",
        window_ms=section.number("WindowMs", 0.0),
        streamed=section.flag("Streamed"),
    )


def read_plan(section: Section) -> api.Plan:
    """Parse one plan."""
    return api.Plan(
        rate=section.number("QuotaRate", 0.0),
        burst=section.number("Depth", 0.0),
        max_open=section.integer("Parallel", 0),
        price=section.number("Pays", 1.0),
        over_worth=section.number("OverWorth", 0.0),
        over_cost=section.number("BeyondCosts", 0.0),
        ceiling_rate=section.number("NeverOverRate", 0.0),
        ceiling_burst=section.number("CapDepth", 0.0),
        ceiling_slack=section.number("CeilingSlack", 0.0),
    )


class Section:
    """An object within the settings, with its path for error messages; a null value counts as absent."""

    def __init__(self, name: str, value: Any) -> None:
        if not isinstance(value, dict):
            raise SettingsError(f"{name}: must be an object")
        self.name, self.values = name, value

    def section(self, key: str) -> Section:
        """Return the object under a key, empty if absent."""
        value = self.values.get(key)
        return Section(f"{self.name}.{key}", {} if value is None else value)

    def sections(self, key: str, required: bool = False) -> list[Section]:
        """Return the list of objects under a key, empty if absent and not required."""
        value = self.values.get(key)
        if value is None and not required:
            return []
        if not isinstance(value, list):
            raise SettingsError(f"{self.name}.{key}: must be a list of objects")
        return [Section(f"{self.name}.{key}[{index}]", item) for index, item in enumerate(value)]

    def number(self, key: str, default: float | None = None) -> float:
        """Return the number under a key; it is required if there is no default."""
        value = self.values.get(key)
        if value is None and default is not None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise SettingsError(f"{self.name}.{key}: must be a number")
        return float(value)

    def integer(self, key: str, default: int) -> int:
        """Return the integer under a key."""
        value = self.number(key, default)
        if value != int(value):
            raise SettingsError(f"{self.name}.{key}: must be a whole number")
        return int(value)

    def flag(self, key: str) -> bool:
        """Return the boolean under a key, False if absent."""
        value = self.values.get(key)
        if value is not None and not isinstance(value, bool):
            raise SettingsError(f"{self.name}.{key}: must be true or false")
        return bool(value)

    def text(self, key: str) -> str:
        """Return the string under a key, empty if absent."""
        value = self.values.get(key)
        if value is not None and not isinstance(value, str):
            raise SettingsError(f"{self.name}.{key}: must be text")
        return value or ""

    def texts(self, key: str) -> tuple[str, ...]:
        """Return the list of strings under a key, empty if absent."""
        value = self.values.get(key)
        if value is None:
            return ()
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            raise SettingsError(f"{self.name}.{key}: must be a list of texts")
        return tuple(value)
