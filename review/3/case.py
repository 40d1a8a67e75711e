"""Streams that can't be resumed, whose server falls silent after their first events."""

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

TIMEOUT_S = 6.0
# The rule: no final answer this long after the timeout.
LATE_S = 0.5
STREAMS = 96
# Of the zone's servers, all fall silent, as in the sites' own days.
DARK_ZONE = "zone-b"
DARK_AFTER_S = 1.0
# "A gap of two seconds, four times the objective or eight times that pause".
GIVE_UP_S = max(2.0, 4 * 4.5, 8 * 0.7)


async def play(world: World) -> int:
    """Send the streams, and count the answers that are missing after the timeout."""
    world.site.gap_s, world.site.last = 0.05, 40
    servers = [
        Server(world.site, f"i-{number}", "huvo11a", ZONES[number % 3], ("m",))
        for number in range(6)
    ]
    config = configuration(
        [
            route(
                "lohu930",
                "streaming",
                "huvo11a",
                **{"timeout-ms": 1000 * TIMEOUT_S, "target-gap-ms": 700},
            )
        ],
        [engine_service("huvo11a", "m")],
    )
    await world.start(config, servers)
    await asyncio.sleep(4)
    asks = [
        asyncio.create_task(
            world.client(number).ask(
                "/lohu930/2f",
                b"x" * 8000,
                deadline_ms=25_000,
                gap_s=GIVE_UP_S,
                prompt_tokens=8200,
            )
        )
        for number in range(STREAMS)
    ]
    await asyncio.sleep(DARK_AFTER_S)
    if world.trouble:
        for server in servers:
            server.dark = server.zone == DARK_ZONE
        world.record.add("servers_dark", zone=DARK_ZONE)
    answers = await asyncio.gather(*asks)
    past = [a for a in answers if a.ended_s - a.sent_s > TIMEOUT_S]
    late = [a for a in past if a.ended_s - a.sent_s > TIMEOUT_S + LATE_S]
    whole = sum(a.status == 200 and a.end == "complete" for a in answers)
    given_up = sum(answer.end == "gave up" for answer in answers)
    world.record.say(
        f"{len(answers)} streams, {whole} complete; {len(past)} ran past their "
        f"route's timeout of {TIMEOUT_S} s; {len(late)} of these had no final answer "
        f"{LATE_S} s later; {given_up} never got one: their clients gave up"
    )
    if not whole:
        return NOT_RUN
    broken = len(late) >= 8 and len(late) > len(past) / 4
    world.record.say("CONFIG is broken" if broken else "CONFIG is kept")
    return BROKEN if broken else HELD


if __name__ == "__main__":
    run_case(__file__, play)
