"""The judge of configuration changes: clean histories pass, and each kind of mistake is found by its name."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from petrelhall.standins.configurations import (
    Acknowledged,
    Admitted,
    Applied,
    Committed,
    Excused,
    Mistake,
    Observation,
    Proposed,
    Refused,
    Verdict,
    content_digest,
    judge,
    quantile,
)

GATEWAYS = 3
END_MS = 100_000.0


def clean_history(versions: int = 4, gateways: int = GATEWAYS) -> list[Observation]:
    """Each version is committed, taken in by all, then left by all before the first serves the next."""
    history: list[Observation] = []
    for version in range(versions):
        start, digest = 1000.0 * version, f"d{version}"
        change = f"change-{version}" if version else ""
        if change:
            history.append(Proposed(start - 10.0, change, digest))
        history.append(Committed(start, version, digest, change))
        for gateway in range(gateways):
            history.append(Applied(start + 20.0, gateway, version, digest, version - 1 if version else None))
            history.append(Admitted(start + 100.0 + gateway, gateway, version, digest))
            history.append(Admitted(start + 900.0, gateway, version, digest))
        if change:
            history.append(Acknowledged(start + 200.0, change, version))
    return history


def found(history: list[Observation], **options: float) -> Verdict:
    return judge(history, GATEWAYS, options.get("end_ms", END_MS), 5000.0, options.get("slack_ms", 0.0))


def mistakes(history: list[Observation], **options: float) -> set[Mistake]:
    return {mistake for mistake, count in found(history, **options).counts.items() if count}


def test_a_clean_history_passes_and_is_measured() -> None:
    verdict = found(clean_history())
    assert verdict.clean and verdict.versions == 4
    assert [entry.took_ms for entry in verdict.in_force] == [102.0] * 4
    assert all(entry.gateways == GATEWAYS and not entry.missing for entry in verdict.in_force)


def test_admitting_under_an_old_lease_is_mixed_versions() -> None:
    history = clean_history()
    history.append(Admitted(2101.0, 2, 1, "d1"))  # gateway 0 serves version 2 since 2100
    assert mistakes(history) == {Mistake.MIXED_VERSIONS}


def test_the_slack_of_the_clocks_excuses_no_more_than_itself() -> None:
    history = clean_history()
    history.append(Admitted(2101.5, 2, 1, "d1"))
    assert mistakes(history, slack_ms=2.0) == set()
    assert mistakes(history, slack_ms=1.0) == {Mistake.MIXED_VERSIONS}


def test_content_that_was_not_checked_against_its_hash_is_found_where_taken_in_and_where_served() -> None:
    history = clean_history()
    history.append(Applied(3950.0, 1, 3, "spoilt"))
    assert mistakes(history) == {Mistake.WRONG_CONTENT}
    history = clean_history()
    history.append(Admitted(3950.0, 1, 3, "spoilt"))
    assert mistakes(history) == {Mistake.WRONG_CONTENT}


def test_a_change_over_a_gap_is_found() -> None:
    history = [
        seen
        for seen in clean_history()
        if not (isinstance(seen, Applied | Admitted) and (seen.gateway, seen.version) == (1, 2))
    ]
    assert mistakes(history) == {Mistake.GAP}  # it holds version 1, and applies the change from 2 to 3


def test_a_whole_document_over_a_gap_is_clean() -> None:
    history = [
        seen
        for seen in clean_history()
        if not (isinstance(seen, Applied | Admitted) and seen.gateway == 1 and seen.version in (2, 3))
    ]
    history += [Applied(3020.0, 1, 3, "d3"), Admitted(3101.0, 1, 3, "d3")]
    verdict = found(history)
    assert verdict.clean
    assert verdict.in_force[2].took_ms == 1101.0  # who serves 3 has reached 2


def test_a_change_that_was_told_to_be_in_force_and_was_not_committed_is_lost() -> None:
    history = clean_history()
    history += [Proposed(3500.0, "change-x", "dx"), Acknowledged(3600.0, "change-x", 4)]
    assert mistakes(history) == {Mistake.LOST}


def test_a_version_that_a_gateway_never_serves_is_lost_unless_it_was_cut_off_or_the_end_came_first() -> None:
    history = [
        seen
        for seen in clean_history()
        if not (isinstance(seen, Applied | Admitted) and seen.gateway == 2 and seen.version == 3)
    ]
    assert mistakes(history) == {Mistake.LOST}
    assert mistakes(history, end_ms=7000.0) == set()  # within the grace
    verdict = found([*history, Excused(2950.0, END_MS, 2)])
    assert verdict.clean and verdict.in_force[3].excused == 1 and verdict.in_force[3].gateways == 2


def test_a_gateway_that_is_excused_may_not_break_a_rule() -> None:
    history = [*clean_history(), Excused(2000.0, END_MS, 2), Admitted(2950.0, 2, 1, "d1")]
    assert Mistake.MIXED_VERSIONS in mistakes(history)


def test_a_change_committed_twice_is_doubled_and_a_version_with_two_digests_is_forked() -> None:
    history = [*clean_history(), Committed(5000.0, 4, "d1", "change-1")]
    for gateway in range(GATEWAYS):
        history.append(Admitted(5100.0, gateway, 4, "d1"))
    assert mistakes(history) == {Mistake.DOUBLED}
    assert mistakes([*clean_history(), Committed(3001.0, 3, "other")]) == {Mistake.FORKED}


def test_a_commit_that_several_control_processes_report_is_one() -> None:
    verdict = found([*clean_history(), Committed(1003.0, 1, "d1", "change-1"), Committed(1004.0, 1, "d1", "change-1")])
    assert verdict.clean and verdict.versions == 4 and verdict.in_force[1].took_ms == 102.0


def test_a_version_served_without_a_commit_or_before_it_is_found() -> None:
    history = clean_history()
    history += [Admitted(3950.0, gateway, 9, "d9") for gateway in range(GATEWAYS)]
    assert mistakes(history) == {Mistake.NOT_COMMITTED}
    early = [*clean_history(1), Admitted(4000.0, 0, 1, "d1"), Committed(4001.0, 1, "d1")]
    early += [Admitted(4010.0, gateway, 1, "d1") for gateway in range(GATEWAYS)]
    assert mistakes(early) == {Mistake.NOT_COMMITTED}


def test_a_gateway_that_goes_back_is_found() -> None:
    history = [*clean_history(2, 1), Admitted(2500.0, 0, 0, "d0")]
    assert Mistake.BACKWARDS in mistakes(history)


def test_refusals_are_counted_and_break_no_rule() -> None:
    verdict = found([*clean_history(), Refused(2050.0, 0), Refused(2050.0, 1)])
    assert verdict.clean and verdict.refused == 2


def test_quantiles_are_of_values_that_were_seen() -> None:
    assert math.isnan(quantile([], 0.5))
    assert quantile([1.0, 2.0, 3.0, 4.0], 0.5) == 2.0
    assert quantile([float(value) for value in range(1, 101)], 0.99) == 99.0


@given(st.integers(1, 6), st.integers(1, 8), st.data())
def test_one_late_admission_anywhere_is_always_found(gateways: int, versions: int, data: st.DataObject) -> None:
    history = clean_history(versions + 1, gateways)
    assert judge(history, gateways, END_MS, 5000.0).clean
    version = data.draw(st.integers(0, versions - 1))
    later = data.draw(st.integers(version + 1, versions))
    delay = data.draw(st.floats(0.5, 800.0))
    gateway = data.draw(st.integers(0, gateways - 1))
    history.append(Admitted(1000.0 * later + 100.0 + delay, gateway, version, f"d{version}"))
    assert judge(history, gateways, END_MS, 5000.0).counts[Mistake.MIXED_VERSIONS] >= 1


def test_the_digest_of_content_depends_on_number_keys_and_values_and_not_on_their_order() -> None:
    known = content_digest(2, {"a": b"1", "b": b"2"})
    assert known == content_digest(2, {"b": b"2", "a": b"1"})
    others = [
        content_digest(3, {"a": b"1", "b": b"2"}),
        content_digest(2, {"a": b"1"}),
        content_digest(2, {"a": b"2", "b": b"1"}),
        content_digest(2, {"a1": b"", "b": b"2"}),
    ]
    assert known not in others and len(set(others)) == len(others)


def test_times_since_the_proposal_count_from_the_first_time_that_a_change_was_submitted() -> None:
    history = [*clean_history(), Proposed(1500.0, "change-1", "d1")]
    assert found(history).times_since_proposed() == [112.0] * 3  # proposed 10 ms before the commit
