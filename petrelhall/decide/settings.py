"""Reads the settings that a gateway is given at its start: the adapter and the real gateway share this."""

from __future__ import annotations

from typing import Any

from petrelhall.decide import interface as api

EFFECTS = {
    "repeatable": api.Effect.REPEATABLE,
    "by_key": api.Effect.KEYED,
    "once": api.Effect.ONCE,
}


class SettingsError(ValueError):
    """A field that is missing or makes no sense; the text begins with its name."""


def read_settings(profile: Any) -> api.Settings:
    """Turn the settings' object into the project's own; unknown keys are ignored."""
    top = Section("settings", profile)
    limits, rules, family = top.section("Limits"), top.section("Rules"), top.section("FamilyInfo")
    report, charges = top.section("Report"), top.section("Charges")
    try:
        return api.Settings(
            classes=tuple(read_class(grade) for grade in top.sections("Grades", needed=True)),
            plans=tuple(read_plan(plan) for plan in top.sections("Packages")),
            position=top.whole("Position", 0),
            gateways=top.whole("Balancers", 1),
            zone=top.whole("Zone", 0),
            subscribe=top.text("MembershipMode") == "subscribe",
            ask_every_ms=rules.number("AskEveryMs", 10000.0),
            max_attempts=limits.whole("MaxAttempts", 1),
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
    except ValueError as error:  # a value that the module itself refuses
        raise SettingsError(f"settings: {error}") from error


def read_class(grade: Section) -> api.RequestClass:
    """Read one class of request."""
    effect = grade.text("Effect")
    if effect not in EFFECTS:
        raise SettingsError(f"{grade.name}.Effect: must be one of {', '.join(EFFECTS)}, not {effect!r}")
    return api.RequestClass(
        effect=EFFECTS[effect],
        aim_ms=grade.number("PromiseMs"),
        deadline_ms=grade.number("DeadlineMs"),
        worth=grade.number("Worth", 1.0),
        late_worth=grade.number("LateWorth", 0.0),
        group=grade.text("Group") or "all",
        window_ms=grade.number("WindowMs", 0.0),
        streamed=grade.flag("Streamed"),
    )


def read_plan(plan: Section) -> api.Plan:
    """Read one plan."""
    return api.Plan(
        rate=plan.number("QuotaRate", 0.0),
        burst=plan.number("Depth", 0.0),
        max_open=plan.whole("Parallel", 0),
        price=plan.number("Pays", 1.0),
        over_worth=plan.number("OverWorth", 0.0),
        over_cost=plan.number("BeyondCosts", 0.0),
        ceiling_rate=plan.number("NeverOverRate", 0.0),
        ceiling_burst=plan.number("CapDepth", 0.0),
        ceiling_slack=plan.number("CeilingSlack", 0.0),
    )


class Section:
    """An object of the settings that knows its own name; a value that is null counts as absent."""

    def __init__(self, name: str, value: Any) -> None:
        if not isinstance(value, dict):
            raise SettingsError(f"{name}: must be an object")
        self.name, self.values = name, value

    def section(self, key: str) -> Section:
        """Give an object, empty where absent."""
        value = self.values.get(key)
        return Section(f"{self.name}.{key}", {} if value is None else value)

    def sections(self, key: str, needed: bool = False) -> list[Section]:
        """Give a list of objects, empty where absent."""
        value = self.values.get(key)
        if value is None and not needed:
            return []
        if not isinstance(value, list):
            raise SettingsError(f"{self.name}.{key}: must be a list of objects")
        return [Section(f"{self.name}.{key}[{index}]", item) for index, item in enumerate(value)]

    def number(self, key: str, absent: float | None = None) -> float:
        """Give a number; one without a stand-in must be there."""
        value = self.values.get(key)
        if value is None and absent is not None:
            return absent
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise SettingsError(f"{self.name}.{key}: must be a number")
        return float(value)

    def whole(self, key: str, absent: int) -> int:
        """Give a whole number."""
        value = self.number(key, absent)
        if value != int(value):
            raise SettingsError(f"{self.name}.{key}: must be a whole number")
        return int(value)

    def flag(self, key: str) -> bool:
        """Give a yes or no; absent is no."""
        value = self.values.get(key)
        if value is not None and not isinstance(value, bool):
            raise SettingsError(f"{self.name}.{key}: must be true or false")
        return bool(value)

    def text(self, key: str) -> str:
        """Give a text; absent is an empty one."""
        value = self.values.get(key)
        if value is not None and not isinstance(value, str):
            raise SettingsError(f"{self.name}.{key}: must be text")
        return value or ""

    def texts(self, key: str) -> tuple[str, ...]:
        """Give a list of texts, empty where absent."""
        value = self.values.get(key)
        if value is None:
            return ()
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            raise SettingsError(f"{self.name}.{key}: must be a list of texts")
        return tuple(value)
