"""Connections from before the first read refuse proper headers for good."""

import asyncio
import signal
import time

from stage import HOST, KEY, CannotRun, Gateway, Site, configuration, play, route

# Of the configuration, which is in force from the start and never changes.
MAX_HEADER_BYTES = 32 << 10
# All times are from the start of the store's silence.
DOWN_S, KILLED_AT_S, STARTED_AT_S, OPENED_AT_S = 4.5, 0.3, 0.8, 1.5
# `contact-ms`, and some more.
CONTACT_S = 3.2
CONNECTIONS = 4
MOST_DENIED, DENIED_SHARE = 5, 1 / 500


class Connection:
    """A connection that a client keeps for several requests."""

    def __init__(self, site: Site, gateway: Gateway, name: str) -> None:
        self.site, self.gateway, self.name = site, gateway, name

    async def open(self) -> None:
        """Open the connection, as soon as the machine accepts it."""
        while True:
            try:
                self._reader, self._writer = await asyncio.open_connection(
                    self.gateway.ip, self.site.ports[0]
                )
                return
            except OSError:
                await asyncio.sleep(0.05)

    async def ask(self, number: int, long: bool = False) -> int:
        """Send a request and return its status, 0 if there is no answer."""
        run = f"{self.name}-{number}"
        lines = ["GET /look/x HTTP/1.1", f"Host: {HOST}", f"Request-Id: {run}"]
        lines += ["Deadline-Ms: 3000", f"Authorization: Bearer {KEY}"]
        if long:
            lines.append("Baggage: " + "b" * 4000)
            lines += [f"X-Note-{each}: " + "n" * 4000 for each in range(4)]
        head = "\r\n".join(lines)
        self.site.record(f"{run} is sent to {self.gateway.name}: {len(head)} bytes")
        status = 0
        try:
            async with asyncio.timeout(4):
                self._writer.write(f"{head}\r\n\r\n".encode())
                answer = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                status = int(answer.split(" ")[1])
                for line in answer.lower().split("\r\n"):
                    if line.startswith("content-length:"):
                        await self._reader.readexactly(int(line.split(":")[1]))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        self.site.record(f"{run} is answered {status}")
        return status


async def case(site: Site, trouble: bool) -> bool:
    """Play the case; returns whether few enough proper requests were denied."""
    await site.add_servers("plain", 3)
    look = route("look", "idempotent", "plain", max_attempts=2, timeout_ms=3000)
    limits = configuration(1, [look])
    limits["limits"]["max-header-bytes"] = MAX_HEADER_BYTES
    await site.start(limits)
    await asyncio.sleep(3)
    began_s = time.monotonic()
    if trouble:
        site.record("the store is silent to all")
        site.store.silent_to |= {gateway.view for gateway in site.gateways}
        await asyncio.sleep(KILLED_AT_S)
        for gateway in site.gateways:
            gateway.signal(signal.SIGKILL)
        await asyncio.sleep(STARTED_AT_S - KILLED_AT_S)
        for gateway in site.gateways:
            gateway.start()
        await asyncio.sleep(OPENED_AT_S - STARTED_AT_S)
    connections = [
        Connection(site, gateway, f"look-{gateway.view}-{number}")
        for gateway in site.gateways
        for number in range(CONNECTIONS)
    ]
    for connection in connections:
        await connection.open()
    await asyncio.gather(*(connection.ask(1) for connection in connections))
    if trouble:
        await asyncio.sleep(max(0.0, began_s + DOWN_S - time.monotonic()))
        site.store.silent_to.clear()
        site.record("the store answers again")
        for gateway in site.gateways:
            await gateway.ready()
        await asyncio.sleep(CONTACT_S)
    short = await asyncio.gather(*(each.ask(2) for each in connections))
    if set(short) != {200}:
        raise CannotRun(f"short requests on the kept connections got {set(short)}")
    long = await asyncio.gather(*(each.ask(3, long=True) for each in connections))
    denied = [status for status in long if 300 <= status < 500 and status != 429]
    site.record(f"{len(denied)} of {len(long)} long requests got {set(denied)}")
    return len(denied) <= MOST_DENIED + DENIED_SHARE * (len(short) + len(long))


play(case, __file__, ["ikeja", "lekki", "yaba"])
