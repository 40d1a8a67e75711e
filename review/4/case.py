"""A stream that may run once is relayed, and the member that serves it freezes."""

import asyncio
import signal

from stage import CannotRun, Site, configuration, play, route

# An instance has its whole part of the retries once it has run for a window of 10 s.
CALM_S = 11.0
BEFORE_FREEZE_S, FREEZE_S = 1.5, 3.5
RUN = "stream-1"


async def case(site: Site, trouble: bool) -> bool:
    """Play the case; returns whether the stream ran once."""
    await site.add_servers("llm", 1)
    await site.add_servers("plain", 4)
    once = route("once", "streaming", "llm", max_attempts=5)
    await site.start(configuration(1, [once]))
    first, (server, *_) = site.gateways[0], site.servers.values()
    await asyncio.sleep(CALM_S)
    if trouble:
        site.record(f"the path from {first.name} to {server.identity} is cut")
        server.cut(first.view)
    asked = asyncio.create_task(site.ask(first, RUN, "/once/stream/120", 25000))
    await asyncio.sleep(BEFORE_FREEZE_S)
    if len(site.ran_at(RUN)) != 1:
        raise CannotRun("the stream does not run")
    if trouble:
        member = next(
            each
            for each in site.gateways[1:]
            if f"endpoint_chosen request={RUN} " in each.log.read_text()
        )
        member.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        member.signal(signal.SIGCONT)
        await server.open(first.view)
        site.record(f"the path from {first.name} to {server.identity} is whole again")
    await asked
    await asyncio.sleep(0.5)
    site.record(f"{RUN} has run {len(site.ran_at(RUN))} times")
    return len(site.ran_at(RUN)) == 1


play(case, __file__, ["ikeja", "lekki", "yaba"])
