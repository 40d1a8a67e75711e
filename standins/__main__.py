"""Run one stand-in: ``python -m standins engine|service|platform --help``."""

import argparse
import sys

from twisted.internet import asyncioreactor

asyncioreactor.install()

from twisted.internet import reactor  # noqa: E402
from twisted.web.server import Site  # noqa: E402

from standins._engine import Engine, EngineSpeed  # noqa: E402
from standins._link import serve_link  # noqa: E402
from standins._platform import PlatformStandIn  # noqa: E402
from standins._service import ServiceStandIn  # noqa: E402

_LONG_TIMEOUT_S = 600


def _parse(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="standins")
    parser.add_argument("kind", choices=["engine", "service", "platform", "link"])
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--to", type=int, default=0, help="a link's other end")
    parser.add_argument("--name", default="stand-in")
    parser.add_argument("--model", default="dossier")
    parser.add_argument("--adapter", default="")
    parser.add_argument("--version", default="1")
    parser.add_argument("--gap-ms", type=float, default=20.0)
    parser.add_argument("--prefill-ms", type=float, default=20.0)
    parser.add_argument("--prefill-ms-per-token", type=float, default=0.02)
    parser.add_argument("--slots", type=int, default=64)
    parser.add_argument("--queue", type=int, default=64)
    parser.add_argument("--phases", type=int, default=1)
    parser.add_argument("--stamps", action="store_true")
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--checks-epochs", action="store_true")
    parser.add_argument("--lag-ms", type=float, default=0.0)
    return parser.parse_args(arguments)


def _build(options: argparse.Namespace) -> object:
    if options.kind == "platform":
        return PlatformStandIn(reactor, options.lag_ms).app
    if options.kind == "service":
        return ServiceStandIn(reactor, options.name).app
    speed = EngineSpeed(
        gap_ms=options.gap_ms,
        prefill_ms=options.prefill_ms,
        prefill_ms_per_token=options.prefill_ms_per_token,
        slots=options.slots,
        queue=options.queue,
        phases=options.phases,
        stamps=options.stamps,
    )
    return Engine(
        reactor,
        options.name,
        (options.model, options.adapter, options.version),
        speed,
        options.seed,
        options.checks_epochs,
    ).app


def main() -> None:
    """Serve until the process is ended."""
    options = _parse(sys.argv[1:])
    if options.kind == "link":
        ports = serve_link(reactor, options.to)
        print("listening", *ports, flush=True)
        reactor.run()
        return
    site = Site(_build(options).resource(), timeout=_LONG_TIMEOUT_S)
    port = reactor.listenTCP(options.port, site, interface="127.0.0.1", backlog=512)
    print(f"listening {port.getHost().port}", flush=True)
    reactor.run()


main()
