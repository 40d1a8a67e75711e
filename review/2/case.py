"""Streams that a gateway takes while it stops, and cuts when its grace is over."""

import asyncio
import random

from review.common.clients import Answer
from review.common.servers import Server
from review.common.world import (
    BROKEN,
    HELD,
    NOT_RUN,
    ZONES,
    World,
    configuration,
    engine_service,
    route,
    run_case,
)

# Of ten streams one has three times as many events as the others.
SHORT, LONG = 20, 60
LONG_SHARE = 0.1
GAP_S = 0.05
USUAL_S = 15.0
# Streams a second.
RATE = 36
GRACE_S = 8.0
# LOST: what is sent no later than this after the SIGTERM may be cut by the grace.
EXCUSED_S = 3.0
STOPPED = (0, 1)


async def send_streams(world: World, until_s: float) -> list[tuple[int, Answer]]:
    """Send streams until a time of the record, each on a new connection.

    Returns the answers, each with the gateway that the platform handed it to.
    """
    lengths = random.Random(1)
    asks = []

    async def ask(gateway: int, length: int) -> tuple[int, Answer]:
        client = world.client(gateway)
        try:
            return gateway, await client.ask(
                f"/lohu930/{length}", b"x" * 800, prompt_tokens=800
            )
        finally:
            client.close()

    while world.record.now_s() < until_s:
        long = lengths.random() < LONG_SHARE
        gateway = world.gateways.node_for(lengths.randrange(1000))
        asks.append(asyncio.create_task(ask(gateway, LONG if long else SHORT)))
        await asyncio.sleep(1 / RATE)
    done = await asyncio.gather(*asks, return_exceptions=True)
    return [pair for pair in done if not isinstance(pair, BaseException)]


async def play(world: World) -> int:
    """Stop two of the zone's three gateways under a steady load."""
    world.site.gap_s, world.site.prefill_s = GAP_S, 0.1
    servers = [
        Server(world.site, f"i-{number}", "huvo11a", ZONES[number % 3], ("m",))
        for number in range(6)
    ]
    streaming = route(
        "lohu930", "streaming", "huvo11a", resumable=True, **{"target-gap-ms": 700}
    )
    config = configuration([streaming], [engine_service("huvo11a", "m")])
    await world.start(config, servers, [ZONES[0]] * 3)
    stop_s = world.record.now_s() + USUAL_S
    watching = asyncio.create_task(world.gateways.watch())
    sending = asyncio.create_task(send_streams(world, stop_s + GRACE_S))
    await asyncio.sleep(USUAL_S)
    for number in STOPPED if world.trouble else ():
        world.gateways.terminate(number)
    world.record.add("sigterm", gateways=STOPPED if world.trouble else "none")
    stop_s = world.record.now_s()
    pairs = await sending
    watching.cancel()
    answers = [answer for _, answer in pairs]
    whole = [a for a in answers if a.status == 200 and a.end == "complete"]
    cut = [
        answer
        for gateway, answer in pairs
        if gateway in STOPPED
        and answer.end in ("cut", "no answer")
        and answer.sent_s > stop_s + EXCUSED_S
        and world.site.runs_of(answer.request_id)
    ]
    for answer in cut:
        world.record.add(
            "lost",
            id=answer.request_id,
            sent_after_sigterm_s=round(answer.sent_s - stop_s, 2),
            cut_after_sigterm_s=round(answer.ended_s - stop_s, 2),
        )
    world.record.say(
        f"{len(answers)} streams, {len(whole)} complete; {len(cut)} that were sent "
        f"over {EXCUSED_S} s after the SIGTERM of their gateway and passed on to a "
        "server ended without a complete answer"
    )
    if not whole:
        return NOT_RUN
    world.record.say("LOST is broken" if cut else "LOST is kept")
    return BROKEN if cut else HELD


if __name__ == "__main__":
    run_case(__file__, play)
