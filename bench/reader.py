"""Reads many streams at once and tells how late each token came.

Run as a process of its own, so that reading costs the entry nothing:
``python -m bench.reader --port P --streams N --tokens T [--copy]``.
"""

import argparse
import asyncio
import json
import re
import time

from hdrh.histogram import HdrHistogram

_STAMP = re.compile(rb'" (\d{6,})"')
_MOST_US = 60_000_000
_DIGITS = 3


class Stream(asyncio.Protocol):
    def __init__(self, head: bytes, late: HdrHistogram, done: asyncio.Future) -> None:
        self.head = head
        self.late = late
        self.done = done
        self.tokens = 0
        self.ok = False

    def connection_made(self, transport) -> None:
        transport.write(self.head)

    def data_received(self, data: bytes) -> None:
        now_us = time.monotonic_ns() // 1000
        for stamp in _STAMP.findall(data):
            self.tokens += 1
            self.late.record_value(max(1, now_us - int(stamp)))
        if b"[DONE]" in data or b'"finish":' in data:
            self.ok = True
            if not self.done.done():
                self.done.set_result(None)

    def connection_lost(self, failure) -> None:
        if not self.done.done():
            self.done.set_result(None)


def request(options, number: int) -> bytes:
    body = {
        "model": "summary",
        "prompt": f"prompt {number}",
        "max_tokens": options.tokens,
        "stream": True,
    }
    if options.engine:
        body = {
            "for": f"x/{number}",
            "prefix_tokens": [],
            "request": body,
        }
    data = json.dumps(body).encode()
    path = "/generate" if options.engine or options.copy else "/v1/completions"
    return (
        f"POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {options.key}\r\n"
        f"Content-Length: {len(data)}\r\n\r\n"
    ).encode() + data


async def main(options) -> None:
    loop = asyncio.get_running_loop()
    late = HdrHistogram(1, _MOST_US, _DIGITS)
    streams = []
    started = time.monotonic()
    for number in range(options.streams):
        done = loop.create_future()
        stream = Stream(request(options, number), late, done)
        streams.append(stream)
        port = options.ports[number % len(options.ports)]
        await loop.create_connection(lambda s=stream: s, "127.0.0.1", port)
        if options.spread_ms:
            await asyncio.sleep(options.spread_ms / 1000)
    await asyncio.wait([s.done for s in streams], timeout=options.limit_s)
    took_s = time.monotonic() - started
    tokens = sum(s.tokens for s in streams)
    print(
        json.dumps(
            {
                "streams": options.streams,
                "whole": sum(s.ok for s in streams),
                "tokens": tokens,
                "took_s": took_s,
                "late_ms": {
                    str(p): late.get_value_at_percentile(p) / 1000 for p in (50, 95, 99)
                },
            }
        )
    )


def parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    parser.add_argument("--ports", type=int, nargs="+", required=True)
    parser.add_argument("--streams", type=int, required=True)
    parser.add_argument("--tokens", type=int, required=True)
    parser.add_argument("--key", default="desk-key")
    parser.add_argument("--spread-ms", type=float, default=2.0)
    parser.add_argument("--limit-s", type=float, default=120.0)
    parser.add_argument("--engine", action="store_true")
    parser.add_argument("--copy", action="store_true")
    return parser.parse_args()


if __name__ == "__main__":
    asyncio.run(main(parse()))
