"""How many tokens one entry relays on one core, and how much later they come."""

from bench._tools import memory_bytes, ports_of, processor_s, read_streams
from standins.site import Site, sample_intent
from tests.common.sites import FAST

GAP_MS = 38
ENGINES = 4


def start(site: Site) -> None:
    site.start_platform()
    options = ["--gap-ms", str(GAP_MS), "--phases", "19", "--stamps"]
    site.start_engines(ENGINES, *options, "--slots", "400", "--queue", "400")
    site.start_entries(1, **{**FAST, "status_ms": 500})
    site.until_ready()
    site.put_in_force(sample_intent(list(site.engines), []))
    site.until_serving()


def measure(sizes: tuple[int, ...] = (80, 160, 320, 620), tokens: int = 150) -> list:
    """One row a size and way: direct, by a copying relay, by an entry."""
    rows = []
    with Site() as site:
        start(site)
        engines = ports_of(site, "engines")
        copy = site.start("copy", "bench.copy_relay", *map(str, engines))
        copy_port = copy.listening()[0]
        entry = site.processes["entry-1"]
        for size in sizes:
            direct = read_streams(engines, size, tokens, "--engine")
            rows.append({"way": "direct", **direct})
            rows.append(_timed("copy", copy, [copy_port], size, tokens, "--copy"))
            ports = ports_of(site, "entries")
            for key, way in (("desk-key", "entry"), ("ikeja-key", "entry, durable")):
                rows.append(_timed(way, entry, ports, size, tokens, "--key", key))
    return rows


def _timed(way, process, ports, size, tokens, *options) -> dict:
    before_s = processor_s(process)
    read = read_streams(ports, size, tokens, *options)
    used_s = processor_s(process) - before_s
    return {
        "way": way,
        **read,
        "processor_us_a_token": used_s / max(read["tokens"], 1) * 1e6,
        "core_share": used_s / read["took_s"],
        "memory_bytes": memory_bytes(process),
    }


if __name__ == "__main__":
    for row in measure():
        print(row)
