"""Named timing parameters, and the bounds that follow from them. ``docs/design/distribution.md`` has the argument."""

from __future__ import annotations

from dataclasses import dataclass

RHO = 0.01  # by which the rate of a process's monotonic clock may be wrong, either way
MARGIN = 1.03  # > (1 + RHO) / (1 - RHO)
REPLICA_ROUND_MS = 100.0  # a round trip between two replicas, at most
CHECK_ROUNDS = 4.0  # round trips in which replicas fetch a record and look at it
PROPOSE_AGAIN_MS = 50.0  # after a proposal that failed


@dataclass(frozen=True, slots=True)
class Timing:
    """All times are milliseconds."""

    lease_ms: int = 1500  # of a gateway, from the sending of its watch
    consensus_lease_ms: float = 400.0  # of a replica, among the replicas
    heartbeat_ms: float = 100.0  # between two heartbeats of a coordinator
    takeover_ms: float = 400.0  # of silence, after which another replica takes the coordinator's place
    proposal_ms: float = 1000.0  # after which a proposal that was not decided is made again
    flush_ms: float = 20.0  # for which a distributor collects requests before it reports them
    most_requests: int = 512  # in one report
    jitter_most_ms: float = 5000.0  # that a reconnection may be put off after many failures
    whole_slots: int = 16  # gateways that fetch a whole version from one distributor at once
    whole_idle_ms: float = 2000.0  # after which a gateway that asks for no more parts loses its slot
    whole_retry_ms: int = 1000  # after which, at most, one that found no slot comes again
    part_entries: int = 512  # of a whole version, in one part
    kept_deltas: int = 512  # changes that are kept for those who are behind

    @property
    def wait_ms(self) -> int:
        """Give how long a watch waits; one without a lease is answered as soon as there is a grant for it."""
        return self.lease_ms // 3

    @property
    def late_ms(self) -> float:
        """Give the time after the wait of a watch, after which its connection counts as lost."""
        return self.lease_ms / 3.0

    @property
    def jitter_ms(self) -> float:
        """Give the time over which first reconnections are spread."""
        return self.lease_ms / 6.0

    @property
    def detached_ms(self) -> float:
        """Give the time without word of a majority of replicas, after which who passes content on says so."""
        return float(self.lease_ms)

    @property
    def replica_lost_ms(self) -> float:
        """Give what a replica costs that dies while a record is looked at: it is asked until it has no lease."""
        return MARGIN * self.consensus_lease_ms + CHECK_ROUNDS * REPLICA_ROUND_MS + PROPOSE_AGAIN_MS

    @property
    def granted_ms(self) -> float:
        """Give for how long a coordinator counts a lease, from granting it: longer than it lasts at the gateway."""
        return self.lease_ms * MARGIN

    def change_ms(self, round_ms: float, decision_ms: float) -> float:
        """Give the time of a change with all up: two decisions, and rounds to prepare, release and grant."""
        return 2.0 * decision_ms + 3.0 * round_ms

    def change_silent_ms(self, round_ms: float, decision_ms: float, replica_silent: bool = False) -> float:
        """Give the bound on a change where gateways, and perhaps a replica, are silent."""
        replicas_ms = self.replica_lost_ms if replica_silent else 0.0
        return replicas_ms + self.granted_ms + self.change_ms(round_ms, decision_ms)

    def change_takeover_ms(self, round_ms: float, decision_ms: float) -> float:
        """Give the bound on a change whose coordinator is killed, with all gateways up."""
        taken_over_ms = self.takeover_ms + MARGIN * self.consensus_lease_ms + decision_ms
        prepared_ms = max(self.granted_ms, decision_ms + round_ms)
        return taken_over_ms + prepared_ms + decision_ms + 2.0 * round_ms

    def wholes_ms(self, gateways: int, whole_bytes: int, bytes_per_s: float) -> float:
        """Give the time in which a distributor sends the whole to so many gateways."""
        return 1000.0 * gateways * whole_bytes / bytes_per_s
