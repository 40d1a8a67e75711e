"""Streams that pause beside another's long prompt, at a gateway that was restarted."""

import asyncio

from review.servers import Server
from review.world import (
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

STREAMS = 40
STOPPED = 0
# "As `target-gap-ms`, a route states the longest pause between events for which an
# answer is still in time": it is 700 here, as on the sheets.
PAUSE_S = 0.4
GRACE_S = 8.0


async def play(world: World) -> int:
    """Restart a gateway, send it streams, and let a server read a long prompt."""
    world.site.gap_s, world.site.last, world.site.prefill_s = 0.05, 40, 0.1
    servers = [
        Server(world.site, f"i-{number}", "huvo11a", ZONES[number], ("m",))
        for number in range(2)
    ]
    streaming = route(
        "lohu930", "streaming", "huvo11a", resumable=True, **{"target-gap-ms": 700}
    )
    config = configuration([streaming], [engine_service("huvo11a", "m")])
    await world.start(config, servers)
    await asyncio.sleep(12)
    stop_s = world.record.now_s()
    if world.trouble:
        world.record.add("sigterm", gateway=STOPPED)
        await world.gateways.roll(STOPPED)
        world.record.add("ready_again", gateway=STOPPED)
    asks = [
        asyncio.create_task(
            world.client(STOPPED).ask("/lohu930/2f", b"x" * 800, prompt_tokens=800)
        )
        for _ in range(STREAMS)
    ]
    await asyncio.sleep(1)
    servers[0].read_long_prompt(PAUSE_S)
    answers = await asyncio.gather(*asks)
    whole = [a for a in answers if a.status == 200 and a.end == "complete"]
    cut = [a for a in answers if a.end in ("cut", "no answer")]
    counted = [
        answer
        for answer in cut
        if world.trouble
        and answer.sent_s <= stop_s + GRACE_S + 1
        and world.site.runs_of(answer.request_id)
    ]
    world.record.say(
        f"{len(answers)} streams, {len(whole)} complete, {len(cut)} cut by the "
        f"gateway; {len(counted)} of these were sent around a planned stop "
        f"({answers[0].sent_s - stop_s:.1f} s after the SIGTERM), passed on to a "
        "server, and ended without a complete answer"
    )
    if not whole:
        return NOT_RUN
    world.record.say("LOST is broken" if counted else "LOST is kept")
    return BROKEN if counted else HELD


if __name__ == "__main__":
    run_case(__file__, play)
