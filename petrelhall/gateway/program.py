"""The gateway program: reads the configuration, wires the components together and handles signals."""

from __future__ import annotations

import dataclasses
import gc
import os
import resource
import select
import signal
import sys
from typing import TYPE_CHECKING, Any

import msgspec

from petrelhall.boxes.discovery import DiscoveryWatch
from petrelhall.boxes.fleet import ServerRegistry
from petrelhall.decide import interface as api
from petrelhall.decide import snapshot
from petrelhall.decide.policy import Gateway
from petrelhall.decide.replan import replan
from petrelhall.decide.state import UPGRADE_CEILING_PART
from petrelhall.gateway.config import Config, ConfigError, load
from petrelhall.gateway.counter import CounterClient
from petrelhall.gateway.dispatch import Dispatcher
from petrelhall.gateway.front import LISTENER_CLOSE_DELAY_MS, Listener
from petrelhall.gateway.handover import DEFAULT_POLL_MS, MANAGED_POLL_MS, Handover
from petrelhall.gateway.history import RequestHistory
from petrelhall.gateway.mgmt import MAX_MANAGEMENT_CONNECTIONS, Management
from petrelhall.gateway.peers import SHIFT_KIND, Peers
from petrelhall.gateway.platform import Platform
from petrelhall.gateway.requests import RequestHandler
from petrelhall.links.plan import ConnectionPlan
from petrelhall.links.pool import ConnectionPool
from petrelhall.net.counts import Counts
from petrelhall.net.log import Log
from petrelhall.net.loop import Loop, now_ms
from petrelhall.net.memory import process_budget
from petrelhall.net.stream import Address
from petrelhall.operator.file import OperatorError, differences, read
from petrelhall.operator.settings import File, Shared
from petrelhall.operator.shared import deadlines_of, plans_of, refused, shift_of, strictest

if TYPE_CHECKING:
    from petrelhall.gateway.agreement import PolicyConsensus
    from petrelhall.gateway.learning import ConfigurationLearner
    from petrelhall.gateway.membership import Membership
    from petrelhall.gateway.sharing import QuotaSharing
    from petrelhall.gateway.shifting import TrafficShifter

RESERVED_DESCRIPTORS = 40  # for everything but client and server connections, with some spare
SHUTDOWN_MARGIN_MS = 2000.0  # after the last request's deadline, before clients without a request are left
SHUTDOWN_CHECK_INTERVAL_MS = 100.0  # from then on, between two checks for clients that still get an answer
SERVER_LIST_KEY = "list"  # of the snapshot: discovery's list, in its form
GC_THRESHOLD_OBJECTS = 20000  # net container allocations between two runs of the cycle collector
CLIENT_SHARE = 0.6  # of the descriptors that are not reserved; server connections get the rest


class Program:
    """One gateway process, from its configuration to its exit."""

    def __init__(self, config: Config, log: Log, operator_settings: File, operator_path: str = "") -> None:
        self.config, self.log = config, log
        self.operator_settings, self.operator_path = operator_settings, operator_path
        self.loop, self.counts, self.registry = Loop(log), Counts(), ServerRegistry(config.zone_names)
        self.stopping = self.serving = False
        self.counter: CounterClient | None = None
        self.install_signal_handlers()  # before anyone can connect: an unhandled signal would kill the process
        settings = config.settings
        self.handover = Handover(config.name, log.write)
        self.handover.ensure_address_free(config.listen)
        self.module = Gateway(self.decision_settings(), config.seed)
        self.dispatcher = Dispatcher(self.loop, self.module, self.counts, log)
        platform = self.platform = Platform(settings, config.classes, config.plans)
        reserved = RESERVED_DESCRIPTORS + (MAX_MANAGEMENT_CONNECTIONS if config.mgmt else 0)
        descriptors = max(20, min(config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0]) - reserved)
        client_descriptors = int(CLIENT_SHARE * descriptors)
        self.loop.memory, max_clients = process_budget(config.memory_mb, client_descriptors)
        self.module.max_customers = self.loop.memory.max_customers
        connection_plan = ConnectionPlan(
            operator_settings.links,
            descriptors - client_descriptors,
            config.conn_idle_ms,
            settings.cold_ms,
            settings.gateways,
            config.seed,
        )
        self.pool = ConnectionPool(
            self.loop, self.registry, platform, self.counts, connection_plan, config.connect_timeout_ms
        )
        request_handler = RequestHandler(
            self.loop, self.dispatcher.dispatch, self.pool, self.counts, settings.max_retry_after_ms
        )
        self.dispatcher.handle_request_action = request_handler.deliver
        self.request_handler = request_handler
        request_handler.history = RequestHistory(config.name, log.write)
        self.traffic_shifter: TrafficShifter | None = None
        self.peers: Peers | None = None
        self.membership: Membership | None = None
        self.quota_sharing: QuotaSharing | None = None
        self.policy_source: PolicyConsensus | ConfigurationLearner | None = None
        problem = self.policy_problem(operator_settings.shared)
        if problem:
            raise OperatorError(f"{operator_path}: shared.{problem}")
        self.start_tier_services()
        self.dispatcher.dispatch(api.Started())
        self.apply_policy(operator_settings.shared, None)
        self.start_discovery()
        self.restore_snapshot()
        self.listener = Listener(
            self.loop,
            config.listen,
            platform,
            request_handler,
            self.is_healthy,
            self.counts,
            log,
            max_clients,
        )
        self.listener.on_empty = self.loop.stop
        self.serving = True
        self.mgmt: Management | None = None
        if config.mgmt is not None:
            self.mgmt = Management(
                self.loop,
                config.mgmt,
                self.registry,
                self.report_ready,
                self.dispatcher.dispatch,
                self.counts,
                log.write,
                config.name,
            )
            # Apply exclusions made before this process started.
            self.dispatcher.dispatch(self.registry.reassign_pools())
            if self.membership is not None:
                self.mgmt.views["members"] = self.membership.view
            if self.quota_sharing is not None:
                self.mgmt.views["quota"] = self.quota_sharing.view
            self.add_policy_calls(self.mgmt)
        handover_poll_ms = MANAGED_POLL_MS if config.mgmt is not None else DEFAULT_POLL_MS
        self.handover.watch(self.loop, handover_poll_ms, self.is_ready, self.hand_over, self.take_snapshot)

    def add_policy_calls(self, mgmt: Management) -> None:
        """Register the management calls that show the shared policy and, with consensus on, change it."""
        if self.policy_source is None:
            return
        if self.operator_settings.distribution.on:
            mgmt.views["configuration"] = self.policy_source.view
            return
        from petrelhall.gateway.agreement import PolicyConsensus

        if isinstance(self.policy_source, PolicyConsensus):
            mgmt.views["policy"], mgmt.policy = self.policy_source.view, self.policy_source.call

    def is_ready(self) -> bool:
        """Return whether this process takes clients: it listens, is not shutting down and has servers listed."""
        return not self.stopping and self.serving and not self.listener.closing and bool(self.registry.addresses)

    def is_healthy(self) -> bool:
        """Return the result of the clients' health check: false until the policy in force has been learnt once.

        During an upgrade the new process does not wait for the policy: the process that it replaces answers health
        checks at the same address and is serving.
        """
        policy_known = self.policy_source is None or self.policy_source.was_ready or self.handover.joined
        return bool(self.registry.addresses) and policy_known

    def report_ready(self) -> bool:
        """Answer the operators' readiness call; the process being replaced is notified before the answer is sent."""
        if self.is_ready():
            self.handover.poll_now()
        return self.is_ready()

    def has_peer_network(self) -> bool:
        """Return whether the configuration lets all gateways exchange messages with each other."""
        config = self.config
        return bool(
            config.settings.peers
            and config.settings.gateways > 1
            and config.peer_listen
            and config.peers_all
            and config.settings.peer_messages_per_s > 0
            and len(config.peers) == config.settings.gateways
        )

    def decision_settings(self) -> api.Settings:
        """Return the decision module's settings: its peer message rate excludes the shares of other subsystems."""
        settings, operator_settings = self.config.settings, self.operator_settings
        if operator_settings.quota.on and not settings.cost_after:  # owned quota decides; counter calls would be wasted
            settings = dataclasses.replace(settings, counter=False)
        subsystems = (operator_settings.members, operator_settings.accord) if self.has_peer_network() else ()
        reserved_share = (
            sum(subsystem.share for subsystem in subsystems if subsystem.on)
            + operator_settings.quota.share * operator_settings.quota.on
        )
        if not reserved_share or not settings.peers:
            return settings
        return dataclasses.replace(settings, peer_messages_per_s=settings.peer_messages_per_s * (1.0 - reserved_share))

    def start_tier_services(self) -> None:
        """Start the subsystems that talk to other gateways, to distributors or to the counter, as configured."""
        config, on_event = self.config, self.dispatcher.dispatch
        if config.settings.peers and config.peer_listen and config.peers_all:
            self.peers = Peers(
                self.loop,
                config.peer_listen,
                config.peers,
                config.peers_all,
                config.settings.position,
                on_event,
                self.counts,
            )
            self.dispatcher.send_to_peers = self.peers.send
            if self.operator_settings.members.on and self.has_peer_network():
                from petrelhall.gateway.membership import Membership

                self.membership = Membership(
                    self.loop,
                    self.peers,
                    self.operator_settings.members,
                    config.settings,
                    config.name,
                    config.seed,
                    self.registry,
                    on_event,
                    self.is_ready,
                    self.handover.has_successor,
                    self.counts,
                    self.log.write,
                )
                self.request_handler.on_attempt_end = self.membership.record_attempt
            if self.operator_settings.accord.on and self.has_peer_network():
                from petrelhall.gateway.agreement import PolicyConsensus

                self.policy_source = PolicyConsensus(
                    self.loop,
                    self.peers,
                    self.operator_settings.accord,
                    config.settings,
                    config.name,
                    config.seed,
                    self.operator_settings.shared,
                    self.policy_problem,
                    self.apply_policy,
                    self.counts,
                    self.log.write,
                )
                self.request_handler.policy_gate = self.policy_source
        if self.operator_settings.distribution.on:
            self.start_configuration_learner()
        if self.operator_settings.quota.on:
            from petrelhall.gateway.sharing import QuotaSharing

            self.quota_sharing = QuotaSharing(
                self.loop,
                self.peers,
                self.operator_settings.quota,
                config.settings,
                config.seed,
                self.is_ready,
                self.counts,
                config.counter if config.settings.counter else None,
            )
            self.module.quota_owner = self.quota_sharing
            if self.membership is not None:
                self.quota_sharing.ledger.reachable = self.membership.reachable
        if config.settings.counter and config.counter:
            self.counter = self.open_counter(config.counter)

    def start_configuration_learner(self) -> None:
        """Receive the shared policy from the distributors."""
        from petrelhall.gateway.learning import ConfigurationLearner

        config = self.config
        self.policy_source = ConfigurationLearner(
            self.loop,
            self.operator_settings.distribution,
            config.settings,
            self.operator_settings.shared,
            self.policy_problem,
            self.apply_policy,
            self.counts,
            self.log.write,
        )
        self.request_handler.policy_gate = self.policy_source

    def policy_problem(self, shared: Shared) -> str:
        """Return why this gateway cannot serve a shared policy; empty if it can."""
        config = self.config
        return refused(shared, self.operator_settings, config.settings, config.plans, config.classes)

    def apply_policy(self, shared: Shared, previous: Shared | None) -> None:
        """Put a shared policy in force; with a previous one given, the stricter limits of the two apply."""
        config, module = self.config, self.module
        plans = plans_of(shared, config.settings, config.plans)
        deadlines = deadlines_of(shared, config.settings, config.classes)
        if previous is not None:
            plans = strictest(plans, plans_of(previous, config.settings, config.plans))
            deadlines = tuple(map(min, deadlines, deadlines_of(previous, config.settings, config.classes)))
        if plans != module.settings.plans:
            replan(module, module.settings.plans, plans, now_ms())
            module.settings = dataclasses.replace(module.settings, plans=plans)
        self.platform.deadlines = deadlines
        self.policy_in_force = shared, previous
        self.configure_shifter()

    def configure_shifter(self) -> None:
        """Apply the operators' pools and move; the shifting module is imported only if they have set any."""
        settings = shift_of(*self.policy_in_force, self.operator_settings)
        if self.traffic_shifter is None:
            if settings is None:
                return
            from petrelhall.gateway.shifting import TrafficShifter

            self.traffic_shifter = TrafficShifter(
                self.loop,
                self.registry,
                self.pool.plan,
                self.dispatcher.dispatch,
                self.counts,
                self.log,
                self.config.classes,
                self.config.plans,
            )
            if self.peers is not None:
                self.traffic_shifter.to_peers, self.peers.datagram_handlers[SHIFT_KIND[0]] = (
                    self.peers.send,
                    self.traffic_shifter.on_peer_message,
                )
        self.traffic_shifter.configure(settings)
        self.request_handler.pool_router = self.traffic_shifter if settings is not None else None

    def open_counter(self, address: Address) -> CounterClient:
        """Direct counter calls to an address."""
        wait_ms = self.config.settings.counter_wait_ms
        client = CounterClient(self.loop, address, wait_ms, self.dispatcher.dispatch, self.counts)
        self.dispatcher.add_to_counter = client.add
        return client

    def start_discovery(self) -> None:
        """Start from the last known server list, if the configuration has one, then follow discovery."""
        try:
            if self.config.known_servers is not None:
                self.dispatcher.dispatch(self.registry.apply(self.config.known_servers, "cached"))
        except (ValueError, TypeError) as error:
            raise ConfigError(f"config.known: {error}") from error
        self.discovery_watch = DiscoveryWatch(
            self.loop, self.config.discovery, self.registry, self.dispatcher.dispatch, self.counts, self.log
        )

    def reload(self) -> None:
        """Reload both files, all or nothing, and follow discovery and the counter to their new addresses."""
        try:
            new_config = load(os.environ, reloading=True)
            new_operator = read(self.operator_path) if self.operator_path else self.operator_settings
            if self.policy_source is not None and new_operator.shared != self.operator_settings.shared:
                change_command = self.policy_source.change_command
                self.log.write(
                    f"operators' file: `shared` can only be changed by `{change_command}`; keeping the old value"
                )
                new_operator = msgspec.structs.replace(new_operator, shared=self.operator_settings.shared)
            problem = refused(
                new_operator.shared, new_operator, new_config.settings, new_config.plans, new_config.classes
            )
            if problem:
                raise OperatorError(f"{self.operator_path}: shared.{problem}")
        except (ConfigError, OperatorError) as error:  # keep the old settings: a bad file must not stop a gateway
            self.counts.add("reload", "refused")
            return self.log.write(f"configuration not taken over: {error}")
        self.counts.add("reload", "taken")
        changes = differences(self.operator_settings, new_operator)
        if changes:
            for section in ("members", "quota", "accord", "distribution"):
                if getattr(new_operator, section) != getattr(self.operator_settings, section):
                    self.log.write(f"operators' file: changes of {section} take effect at the next start")
            self.operator_settings = new_operator
            self.pool.plan.configure(new_operator.links)
            if self.policy_source is None:
                self.apply_policy(new_operator.shared, None)
            else:
                self.policy_source.on_operator_file_changed()
            self.configure_shifter()
            self.log.write(f"operators' file taken over: {', '.join(changes)}")
        if new_config.discovery != self.discovery_watch.address:
            self.discovery_watch = self.discovery_watch.follow_address(new_config.discovery)
        if self.counter is not None and new_config.counter is not None and new_config.counter != self.counter.address:
            self.counter.retire()
            self.counter = self.open_counter(new_config.counter)
        if self.quota_sharing is not None and new_config.counter is not None:
            self.quota_sharing.set_counter_address(new_config.counter)

    def install_signal_handlers(self) -> None:
        """Have signals wake the event loop, which reads their numbers from a pipe."""
        # A pipe, not a socket pair: large-scale environments allow a process only TCP and UDP sockets over IPv4.
        read_fd, write_fd = os.pipe()
        for descriptor in (read_fd, write_fd):
            os.set_blocking(descriptor, False)
        signal.set_wakeup_fd(write_fd, warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP):
            signal.signal(number, lambda *_: None)  # the loop reads the number from the wake-up pipe
        self.loop.register(read_fd, select.EPOLLIN, lambda mask: self.on_signals(os.read(read_fd, 64)))
        self.signal_pipe = read_fd, write_fd

    def run(self) -> None:
        """Serve until the loop is stopped."""
        gc.collect()
        gc.freeze()  # objects made at start live as long as the process: collections can skip them
        # Requests create no reference cycles; only connections do, and those are few.
        gc.set_threshold(GC_THRESHOLD_OBJECTS, 20, 50)
        self.loop.run()
        # The exit has begun: another SIGTERM would kill the process during the interpreter's own shutdown.
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        self.log_totals()
        for line in self.pool.describe()[:1] + (self.traffic_shifter.describe() if self.traffic_shifter else []):
            self.log.write(line)

    def log_totals(self) -> None:
        """Log the counters and how long the turns of the loop took, since the start."""
        self.log.write(str(self.counts))
        self.log.write(f"loop: {self.loop.turns} turns, {self.loop.turn_times}")

    def on_signals(self, numbers: bytes) -> None:
        """Log the counters on SIGUSR1, reload on SIGHUP, and begin the shutdown on SIGTERM or SIGINT."""
        for number in numbers:
            if number == signal.SIGUSR1:
                self.log_totals()
                for line in self.pool.describe() + (self.traffic_shifter.describe() if self.traffic_shifter else []):
                    self.log.write(line)
            elif number == signal.SIGHUP:
                self.loop.guard(self.reload)
            else:
                self.begin_shutdown()

    def restore_snapshot(self) -> None:
        """In an upgrade, restore the state of the process being replaced, before any client can connect."""
        data = self.handover.join()
        self.handover.on_alone = self.take_back_ceilings
        if self.handover.joined:
            self.module.ceiling_part = UPGRADE_CEILING_PART
        if data is None:
            return
        self.restore_server_list(data)
        try:
            latency, faults = snapshot.restore(self.module, self.config.settings, data, now_ms())
        except snapshot.SnapshotError as error:
            return self.log.write(f"ignoring the snapshot of the process being replaced: {error}")
        self.module.latency_per_unit_ms = dict(zip(self.config.settings.classes, latency, strict=True))
        self.module.failure_rates = faults
        replan(self.module, self.config.settings.plans, self.module.settings.plans, now_ms())
        self.log.write(
            f"restored from the process being replaced: {len(self.module.customers)} customers, "
            f"{len(data['links'])} servers"
        )

    def restore_server_list(self, data: Any) -> None:
        """Start from the list of the process being replaced, which is newer than the configuration's.

        Discovery may be down now: what it told the former process, such as drains, binds this one as well.
        """
        listing = data.get(SERVER_LIST_KEY) if isinstance(data, dict) else None
        if listing is None:
            return
        try:
            self.dispatcher.dispatch(self.registry.apply(listing, "cached"))
            self.registry.from_discovery = True
        except (ValueError, TypeError) as error:
            self.log.write(f"ignoring the server list of the process being replaced: {error}")

    def take_snapshot(self) -> dict[str, Any]:
        """Return the state that the next process of this gateway can restore, with half of the ceilings."""
        self.module.give_away_ceilings()
        server_list = {SERVER_LIST_KEY: self.registry.listing()} if self.registry.from_discovery else {}
        return server_list | self.take_module_snapshot()

    def take_back_ceilings(self) -> None:
        """Fill all of this gateway's part of the ceilings again: the other process of the upgrade fills none."""
        self.module.ceiling_part = 1.0

    def take_module_snapshot(self) -> dict[str, Any]:
        """Return the state of the decision module."""
        classes = self.config.settings.classes
        return snapshot.take(
            self.module,
            self.config.settings,
            [self.module.latency_per_unit_ms[request_class] for request_class in classes],
            self.module.failure_rates,
            self.module.settings.plans,
        )

    def hand_over(self) -> None:
        """Leave new connections and peer messages to a newer process that is ready; exit with the last client."""
        self.module.fills_ceilings = False
        if self.membership is not None:
            self.membership.hand_over()
        if self.quota_sharing is not None:
            self.quota_sharing.hand_over()
        if self.policy_source is not None:
            self.policy_source.hand_over()
        if self.peers is not None:
            self.peers.stop_receiving()
        self.listener.hand_over()

    def begin_shutdown(self) -> None:
        """Keep serving while clients may still connect, answer what was accepted, then stop; idempotent."""
        if not self.stopping:
            self.handover.poll_now()  # a newer process may have become ready since the last poll
            self.stopping = True
            if self.membership is not None:
                self.membership.leave()
            longest_deadline_ms = max(request_class.deadline_ms for request_class in self.config.settings.classes)
            self.listener.stop(longest_deadline_ms)
            wait_ms = LISTENER_CLOSE_DELAY_MS + longest_deadline_ms + SHUTDOWN_MARGIN_MS
            self.loop.after(wait_ms, self.stop_when_answered)

    def stop_when_answered(self) -> None:
        """Stop the loop once no client gets an answer any more.

        By now every accepted request is past its deadline, but an answer that is passed on may take longer. The limits
        on its progress end it, so that the process does not wait for ever.
        """
        if self.listener.is_answering:
            self.loop.after(SHUTDOWN_CHECK_INTERVAL_MS, self.stop_when_answered)
        else:
            self.loop.stop()


def main(arguments: list[str] | None = None) -> int:
    """Run one gateway; ``--operator FILE`` names the operators' file, without which every setting has its default."""
    arguments = sys.argv[1:] if arguments is None else arguments
    if arguments and (len(arguments) != 2 or arguments[0] != "--operator"):
        print("petrelhall: usage: python -m petrelhall [--operator FILE]", file=sys.stderr)
        return 2
    log, path = Log(), arguments[1] if arguments else ""
    try:
        operator_settings = read(path) if path else File()
        program = Program(load(os.environ), log, operator_settings, path)
    except (ConfigError, OperatorError) as error:
        print(f"petrelhall: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"petrelhall: cannot start: {error}", file=sys.stderr)
        return 1
    program.run()
    return 0
