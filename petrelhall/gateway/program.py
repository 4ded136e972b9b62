"""The gateway program: reads its configuration, puts the parts together, and minds signals."""

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

from petrelhall.boxes.discovery import Watch
from petrelhall.boxes.fleet import Fleet
from petrelhall.decide import interface as api
from petrelhall.decide import snapshot
from petrelhall.decide.policy import Gateway
from petrelhall.decide.replan import replan
from petrelhall.gateway.config import Config, ConfigError, load
from petrelhall.gateway.counter import CounterClient
from petrelhall.gateway.dispatch import Dispatcher
from petrelhall.gateway.front import CLOSE_MS, Front
from petrelhall.gateway.handover import CALM_LOOK_MS, LOOK_MS, Handover
from petrelhall.gateway.mgmt import CALLERS, Management
from petrelhall.gateway.peers import SHIFT, Peers
from petrelhall.gateway.platform import Platform
from petrelhall.gateway.requests import Desk
from petrelhall.http.room import Room
from petrelhall.links.plan import Plan
from petrelhall.links.pool import Pool
from petrelhall.net.counts import Counts
from petrelhall.net.log import Log
from petrelhall.net.loop import Loop, now_ms
from petrelhall.net.stream import Address
from petrelhall.operator.file import OperatorError, differences, read
from petrelhall.operator.settings import File, Shared
from petrelhall.operator.shared import deadlines_of, plans_of, refused, shift_of, strictest

if TYPE_CHECKING:
    from petrelhall.gateway.agreement import Agreement
    from petrelhall.gateway.learning import Learning
    from petrelhall.gateway.membership import Membership
    from petrelhall.gateway.sharing import Sharing
    from petrelhall.gateway.shifting import Shifter

OWN_SOCKETS = 40  # descriptors for all but clients and servers, with some to spare
LAST_MS = 2000.0  # after the last request's deadline, to end whatever would not end by itself
GARBAGE = 20000  # objects made and not freed between two looks for cycles
CLIENT_SHARE = 0.6  # of the other descriptors


class Program:
    """One gateway, from its configuration to its exit."""

    def __init__(self, config: Config, log: Log, operator: File, operator_path: str = "") -> None:
        self.config, self.log, self.operator, self.operator_path = config, log, operator, operator_path
        self.loop, self.counts, self.fleet = Loop(log), Counts(), Fleet(config.areas)
        self.stopping = self.serving = False
        self.counter: CounterClient | None = None
        self.mind_signals()  # before anyone can connect: unminded, any of them ends the program at once
        settings = config.settings
        self.handover = Handover(config.name, log.write)
        self.handover.alone(config.listen)
        self.module = Gateway(self.module_settings(), config.seed)
        self.dispatcher = Dispatcher(self.loop, self.module, self.counts, log)
        platform = self.platform = Platform(settings, config.classes, config.plans)
        own = OWN_SOCKETS + (CALLERS if config.mgmt else 0)
        room = max(20, min(config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0]) - own)
        clients = int(CLIENT_SHARE * room)
        plan = Plan(
            operator.links, room - clients, config.conn_idle_ms, settings.cold_ms, settings.gateways, config.seed
        )
        body_room = Room(config.memory_mb)
        self.pool = Pool(self.loop, self.fleet, platform, self.counts, plan, config.connect_timeout_ms, body_room)
        desk = Desk(self.loop, self.dispatcher.tell, self.pool, self.counts, settings.max_retry_after_ms)
        self.dispatcher.to_request = desk.give
        self.desk = desk
        self.shifter: Shifter | None = None
        self.peers: Peers | None = None
        self.membership: Membership | None = None
        self.sharing: Sharing | None = None
        self.agreement: Agreement | Learning | None = None
        wrong = self.unfit(operator.shared)
        if wrong:
            raise OperatorError(f"{operator_path}: shared.{wrong}")
        self.join_others()
        self.dispatcher.tell(api.Started())
        self.apply(operator.shared, None)
        self.start_list()
        self.take_over()
        self.front = Front(self.loop, config.listen, platform, desk, self.healthy, self.counts, log, clients, body_room)
        self.front.on_empty = self.loop.stop
        self.serving = True
        self.mgmt: Management | None = None
        if config.mgmt is not None:
            self.mgmt = Management(
                self.loop,
                config.mgmt,
                self.fleet,
                self.say_ready,
                self.dispatcher.tell,
                self.counts,
                log.write,
                config.name,
            )
            self.dispatcher.tell(self.fleet.relabel())  # servers that the operators took out before this start
            if self.membership is not None:
                self.mgmt.views["members"] = self.membership.view
            if self.sharing is not None:
                self.mgmt.views["quota"] = self.sharing.view
            self.show_policy(self.mgmt)
        look_ms = LOOK_MS if config.mgmt is not None else CALM_LOOK_MS
        self.handover.watch(self.loop, look_ms, self.ready, self.hand_over, self.snapshot)

    def show_policy(self, mgmt: Management) -> None:
        """Let operators see, and by accord change, the policy that all gateways share."""
        if self.agreement is None:
            return
        if self.operator.distribution.on:
            mgmt.views["configuration"] = self.agreement.view
            return
        from petrelhall.gateway.agreement import Agreement

        if isinstance(self.agreement, Agreement):
            mgmt.views["policy"], mgmt.policy = self.agreement.view, self.agreement.call

    def ready(self) -> bool:
        """Tell whether this process takes clients: it listens, is not ending, and knows servers to send to."""
        return not self.stopping and self.serving and not self.front.closing and bool(self.fleet.addresses)

    def healthy(self) -> bool:
        """Tell the clients' front whether to send here: not before it is known once what is in force.

        A second process beside one that serves never says no: it answers at the same address.
        """
        known = self.agreement is None or self.agreement.begun or self.handover.joined
        return bool(self.fleet.addresses) and known

    def say_ready(self) -> bool:
        """Tell operators whether this process takes clients; the process that it replaces hears of it first."""
        if self.ready():
            self.handover.look_now()
        return self.ready()

    def knows_others(self) -> bool:
        """Tell whether the platform lets all gateways speak with each other."""
        config = self.config
        return bool(
            config.settings.peers
            and config.settings.gateways > 1
            and config.peer_listen
            and config.peers_all
            and config.settings.peer_messages_per_s > 0
            and len(config.peers) == config.settings.gateways
        )

    def module_settings(self) -> api.Settings:
        """Give the settings as the module gets them: messages that other parts take are not the module's."""
        settings, operator = self.config.settings, self.operator
        if operator.quota.on and not settings.cost_after:  # what is owned decides: asking for verdicts would cost calls
            settings = dataclasses.replace(settings, counter=False)
        parts = (operator.members, operator.accord) if self.knows_others() else ()
        taken = sum(part.share for part in parts if part.on) + operator.quota.share * operator.quota.on
        if not taken or not settings.peers:
            return settings
        return dataclasses.replace(settings, peer_messages_per_s=settings.peer_messages_per_s * (1.0 - taken))

    def join_others(self) -> None:
        """Open the ways to the other gateways that the configuration names."""
        config, tell = self.config, self.dispatcher.tell
        if config.settings.peers and config.peer_listen and config.peers_all:
            self.peers = Peers(
                self.loop,
                config.peer_listen,
                config.peers,
                config.peers_all,
                config.settings.position,
                tell,
                self.counts,
            )
            self.dispatcher.to_peers = self.peers.send
            if self.operator.members.on and self.knows_others():
                from petrelhall.gateway.membership import Membership

                self.membership = Membership(
                    self.loop,
                    self.peers,
                    self.operator.members,
                    config.settings,
                    config.name,
                    config.seed,
                    self.fleet,
                    tell,
                    self.ready,
                    self.counts,
                    self.log.write,
                )
                self.desk.witness = self.membership.saw
            if self.operator.accord.on and self.knows_others():
                from petrelhall.gateway.agreement import Agreement

                self.agreement = Agreement(
                    self.loop,
                    self.peers,
                    self.operator.accord,
                    config.settings,
                    config.name,
                    config.seed,
                    self.operator.shared,
                    self.unfit,
                    self.apply,
                    self.counts,
                    self.log.write,
                )
                self.desk.agreed = self.agreement
        if self.operator.distribution.on:
            self.learn()
        if self.operator.quota.on:
            from petrelhall.gateway.sharing import Sharing

            self.sharing = Sharing(
                self.loop,
                self.peers,
                self.operator.quota,
                config.settings,
                config.seed,
                self.ready,
                self.counts,
                config.counter if config.settings.counter else None,
            )
            self.module.quota_owner = self.sharing
            if self.membership is not None:
                self.sharing.ledger.reachable = self.membership.reachable
        if config.settings.counter and config.counter:
            self.counter = self.counter_at(config.counter)

    def learn(self) -> None:
        """Have the shared part brought by distributors."""
        from petrelhall.gateway.learning import Learning

        config = self.config
        self.agreement = Learning(
            self.loop,
            self.operator.distribution,
            config.settings,
            self.operator.shared,
            self.unfit,
            self.apply,
            self.counts,
            self.log.write,
        )
        self.desk.agreed = self.agreement

    def unfit(self, shared: Shared) -> str:
        """Say why a shared part cannot be served here; empty where it can."""
        config = self.config
        return refused(shared, self.operator, config.settings, config.plans, config.classes)

    def apply(self, shared: Shared, before: Shared | None) -> None:
        """Serve by the shared part of the policy from now on, or by the stricter of two."""
        config, module = self.config, self.module
        plans = plans_of(shared, config.settings, config.plans)
        deadlines = deadlines_of(shared, config.settings, config.classes)
        if before is not None:
            plans = strictest(plans, plans_of(before, config.settings, config.plans))
            deadlines = tuple(map(min, deadlines, deadlines_of(before, config.settings, config.classes)))
        if plans != module.settings.plans:
            replan(module, module.settings.plans, plans, now_ms())
            module.settings = dataclasses.replace(module.settings, plans=plans)
        self.platform.deadlines = deadlines
        self.served = shared, before
        self.shift()

    def shift(self) -> None:
        """Take the operators' pools and move; what that needs is loaded only where they have set some."""
        settings = shift_of(*self.served, self.operator)
        if self.shifter is None:
            if settings is None:
                return
            from petrelhall.gateway.shifting import Shifter

            self.shifter = Shifter(
                self.loop,
                self.fleet,
                self.pool.plan,
                self.dispatcher.tell,
                self.counts,
                self.log,
                self.config.classes,
                self.config.plans,
            )
            if self.peers is not None:
                self.shifter.to_peers, self.peers.on_word[SHIFT[0]] = self.peers.send, self.shifter.heard
        self.shifter.configure(settings)
        self.desk.sides = self.shifter if settings is not None else None

    def counter_at(self, address: Address) -> CounterClient:
        """Have calls to the counter go to an address."""
        wait_ms = self.config.settings.counter_wait_ms
        client = CounterClient(self.loop, address, wait_ms, self.dispatcher.tell, self.counts)
        self.dispatcher.to_counter = client.add
        return client

    def start_list(self) -> None:
        """Begin with the list that this gateway last had, then follow discovery."""
        try:
            if self.config.known is not None:
                self.dispatcher.tell(self.fleet.take(self.config.known, "cached"))
        except (ValueError, TypeError) as error:
            raise ConfigError(f"config.known: {error}") from error
        self.watch = Watch(self.loop, self.config.discovery, self.fleet, self.dispatcher.tell, self.counts, self.log)

    def reload(self) -> None:
        """Read both files anew, all or nothing: move to where discovery and the counter are, take settings."""
        try:
            new = load(os.environ, anew=True)
            operator = read(self.operator_path) if self.operator_path else self.operator
            if self.agreement is not None and operator.shared != self.operator.shared:
                by = self.agreement.changed_by
                self.log.write(f"operators' file: shared is changed by `{by}` only; left as it is")
                operator = msgspec.structs.replace(operator, shared=self.operator.shared)
            wrong = refused(operator.shared, operator, new.settings, new.plans, new.classes)
            if wrong:
                raise OperatorError(f"{self.operator_path}: shared.{wrong}")
        except (ConfigError, OperatorError) as error:  # the old goes on serving: a bad file must not end a gateway
            self.counts.add("reload", "refused")
            return self.log.write(f"configuration not taken over: {error}")
        self.counts.add("reload", "taken")
        changes = differences(self.operator, operator)
        if changes:
            for part in ("members", "quota", "accord", "distribution"):
                if getattr(operator, part) != getattr(self.operator, part):
                    self.log.write(f"operators' file: {part} takes hold at the next start")
            self.operator = operator
            self.pool.plan.configure(operator.links)
            if self.agreement is None:
                self.apply(operator.shared, None)
            else:
                self.agreement.look_again()
            self.shift()
            self.log.write(f"operators' file taken over: {', '.join(changes)}")
        if new.discovery != self.watch.address:
            self.watch = self.watch.moved(new.discovery)
        if self.counter is not None and new.counter is not None and new.counter != self.counter.address:
            self.counter.retire()
            self.counter = self.counter_at(new.counter)
        if self.sharing is not None and new.counter is not None:
            self.sharing.move(new.counter)

    def mind_signals(self) -> None:
        """Have signals wake the loop, which then reads their numbers."""
        # A pipe, not a socket pair: on the days at size a process may hold TCP and UDP sockets over IPv4 only.
        wake, woken = os.pipe()
        for end in (wake, woken):
            os.set_blocking(end, False)
        signal.set_wakeup_fd(woken, warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP):
            signal.signal(number, lambda *_: None)  # the loop reads the number from the wake-up pipe
        self.loop.register(wake, select.EPOLLIN, lambda mask: self.on_signals(os.read(wake, 64)))
        self.signal_pipe = wake, woken

    def run(self) -> None:
        """Serve until told to end."""
        gc.collect()
        gc.freeze()  # what is here now stays: no collection needs to look at it again
        gc.set_threshold(GARBAGE, 20, 50)  # requests leave no cycles: connections alone do, and those are few
        self.loop.run()
        signal.signal(signal.SIGTERM, signal.SIG_IGN)  # it ends already: the interpreter's own end would die of it
        self.log.write(str(self.counts))
        for line in self.pool.describe()[:1] + (self.shifter.describe() if self.shifter else []):
            self.log.write(line)

    def on_signals(self, numbers: bytes) -> None:
        """Print the counters, move to a new configuration, or begin the end."""
        for number in numbers:
            if number == signal.SIGUSR1:
                self.log.write(str(self.counts))
                for line in self.pool.describe() + (self.shifter.describe() if self.shifter else []):
                    self.log.write(line)
            elif number == signal.SIGHUP:
                self.loop.guard(self.reload)
            else:
                self.begin_end()

    def take_over(self) -> None:
        """Go on from what the process before this one knew, where this is an upgrade: before anyone can connect."""
        data = self.handover.join()
        if data is None:
            return
        try:
            latency, faults = snapshot.restore(self.module, self.config.settings, data, now_ms())
        except snapshot.SnapshotError as error:
            return self.log.write(f"snapshot of the process before this one ignored: {error}")
        self.module.latency = dict(zip(self.config.settings.classes, latency, strict=True))
        self.module.faults = faults
        replan(self.module, self.config.settings.plans, self.module.settings.plans, now_ms())
        self.log.write(
            f"taken over from the process before this one: {len(self.module.customers)} customers, "
            f"{len(data['links'])} servers"
        )

    def snapshot(self) -> dict[str, Any]:
        """Give what the next process of this gateway can use."""
        classes = self.config.settings.classes
        return snapshot.take(
            self.module,
            self.config.settings,
            [self.module.latency[kind] for kind in classes],
            self.module.faults,
            self.module.settings.plans,
        )

    def hand_over(self) -> None:
        """A newer process of this gateway is ready: what is new is its; this one ends with its last client."""
        if self.membership is not None:
            self.membership.hand_over()
        if self.sharing is not None:
            self.sharing.hand_over()
        if self.agreement is not None:
            self.agreement.hand_over()
        if self.peers is not None:
            self.peers.only_speak()
        self.front.hand_over()

    def begin_end(self) -> None:
        """Serve on while clients may still come, answer what was taken, and stop; once only."""
        if not self.stopping:
            self.handover.look_now()  # a newer process may have spoken since the last look
            self.stopping = True
            if self.membership is not None:
                self.membership.leave()
            longest = max(kind.deadline_ms for kind in self.config.settings.classes)
            self.front.stop(longest)
            self.loop.after(CLOSE_MS + longest + LAST_MS, self.loop.stop)  # nobody waits any more


def main(arguments: list[str] | None = None) -> int:
    """Run one gateway; ``--operator FILE`` names the operators' file, without which all is at its default."""
    arguments = sys.argv[1:] if arguments is None else arguments
    if arguments and (len(arguments) != 2 or arguments[0] != "--operator"):
        print("petrelhall: usage: python -m petrelhall [--operator FILE]", file=sys.stderr)
        return 2
    log, path = Log(), arguments[1] if arguments else ""
    try:
        operator = read(path) if path else File()
        program = Program(load(os.environ), log, operator, path)
    except (ConfigError, OperatorError) as error:
        print(f"petrelhall: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"petrelhall: cannot start: {error}", file=sys.stderr)
        return 1
    program.run()
    return 0
