"""Messages of the decision module to other gateways, and its calls of the shared counter, by gateways."""

from __future__ import annotations

import random
from collections.abc import Iterator

from benchmarks.scale.installation import PEER_MESSAGES_PER_S, gateway_settings
from benchmarks.scale.play import INTERVAL_TOKEN, Player
from benchmarks.scale.sampling import Effort, Samples, cpu_ms
from petrelhall.capacity.records import Slope
from petrelhall.decide import gossip
from petrelhall.decide import interface as api
from petrelhall.decide.policy import GOSSIP_BUDGET_SHARE, Gateway

SERVERS, TENANTS = 200, 1200
ENTRIES = 20  # of a message that is heard
WARM_UP_SECONDS = 10.0
MOST_REPEATS = 3
TELLS = 3.0  # messages to all that a play lasts for: at 2,100 gateways one goes out in 140 s


def measure(effort: Effort) -> Iterator[Slope]:
    """Yield the slopes."""
    messages = Samples(
        "gossip.messages",
        "Messages that one gateway's decision module sends a second to other gateways, where there is no counter.",
        "messages/s",
        "gateways",
        "Each tenant uses 4 gateways, nothing is heard from them; one message to all, in 140 s at 2,100, is a burst.",
    )
    sent_bytes = Samples(
        "gossip.bytes",
        "Payload of those messages.",
        "bytes/s",
        "gateways",
        "Headers of UDP, IP and Ethernet, 28 bytes a message and more, are left out.",
    )
    hearing = Samples(
        "gossip.in.cpu",
        "CPU of the decision module for the messages that it takes in, at the rate that the plan lets in.",
        "ms/s",
        "gateways",
        "Each message holds 20 entries of random tenants; reading it from the socket is left out.",
    )
    calls = Samples(
        "counter.calls",
        "Calls of the shared counter that one gateway makes a second where gateways do not speak with each other.",
        "calls/s",
        "gateways",
        "No other gateway adds to the counts, and the counter answers in 10 ms; each tenant uses 4 gateways.",
        "gossip",
    )
    for gateways in effort.gateways:
        for seed in range(1, 1 + min(MOST_REPEATS, effort.repeats)):
            settings = gateway_settings(gateways, peers=True, counter=False)
            player = warmed_up(settings, seed, effort)
            seconds = max(effort.seconds, TELLS * player.module.gossip_interval_ms / 1000.0)
            played = player.run(seconds)
            messages.add(gateways, played.peer_messages / seconds)
            sent_bytes.add(gateways, played.peer_bytes / seconds)
            hearing.add(gateways, hearing_ms_per_s(settings, seed))
            settings = gateway_settings(gateways, peers=False, counter=True)
            played = warmed_up(settings, seed, effort).run(effort.seconds)
            calls.add(gateways, played.counter_calls / effort.seconds)
    for samples in (messages, sent_bytes, hearing, calls):
        yield samples.slope()


def warmed_up(settings: api.Settings, seed: int, effort: Effort) -> Player:
    """Give a module that has played for a while."""
    player = Player(Gateway(settings, seed), SERVERS, TENANTS, seed)
    player.run(min(WARM_UP_SECONDS, effort.seconds))
    return player


def hearing_ms_per_s(settings: api.Settings, seed: int) -> float:
    """Give the CPU of a second of messages from others, with one closing of the interval."""
    draw = random.Random(seed)
    player = Player(Gateway(settings, seed), SERVERS, TENANTS, seed)
    player.remember_tenants()
    codes = [customer.code for customer in player.module.customers.values()]
    spent, count = 0.0, int(GOSSIP_BUDGET_SHARE * PEER_MESSAGES_PER_S)
    for _ in range(count):
        sender = draw.randrange(1, settings.gateways)
        content = gossip.encode([(draw.choice(codes), 1.0) for _ in range(ENTRIES)])
        player.now += 1000.0 / count
        spent += cpu_ms(player.module.handle, player.now, api.PeerMessage(sender, content))
    return spent + cpu_ms(player.module.handle, player.now, api.Alarm(INTERVAL_TOKEN))
