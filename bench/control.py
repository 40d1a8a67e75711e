"""What control costs an entry, how fast changes come into force, what leaving takes."""

import threading
import time

from bench._tools import memory_bytes, percentiles, processor_s
from standins.caller import Caller
from standins.site import Site, sample_intent, wait_until

IDLE_S = 10.0


def _start(site: Site, entries: int, engines: int = 3, *platform: str) -> None:
    site.start_platform(*platform)
    site.start_engines(engines, "--gap-ms", "10")
    site.start_entries(entries)
    site.until_ready()
    site.put_in_force(sample_intent(list(site.engines), []))
    site.until_serving()


def idle(sizes: tuple[int, ...] = (3, 9, 27)) -> list[dict]:
    """Bytes, processor time and store operations of an entry that does nothing else."""
    rows = []
    for entries in sizes:
        with Site() as site:
            _start(site, entries)
            before = _counts(site)
            time.sleep(IDLE_S)
            after = _counts(site)
        each = {key: (after[key] - before[key]) / entries / IDLE_S for key in before}
        rows.append({"entries": entries, **each})
    return rows


def _counts(site: Site) -> dict[str, float]:
    status = [entry.get("/operator/status") for entry in site.entries.values()]
    processes = [site.processes[name] for name in site.entries]
    return {
        "peer_bytes_a_s": sum(each["peer_bytes"] for each in status),
        "store_reads_a_s": sum(each["store"]["reads"] for each in status),
        "store_writes_a_s": sum(each["store"]["writes"] for each in status),
        "processor_share": sum(processor_s(each) for each in processes),
    }


def changes(count: int = 200, entries: int = 9) -> dict:
    """From confirm to accepted."""
    took = []
    with Site() as site:
        _start(site, entries)
        intent = sample_intent(list(site.engines), [])
        http = site.entries["entry-1"]
        for number in range(count):
            intent["loads_per_minute"] = 7 + number % 2
            plan = http.ask("POST", "/operator/plans", intent)[1]
            started = time.monotonic()
            path = f"/operator/plans/{plan['plan_id']}/confirm"
            assert http.ask("POST", path)[0] == 200
            wait_until(lambda: site.accepted("entry-1"), "accepted")
            took.append((time.monotonic() - started) * 1000)
            applied = [
                each.get("/operator/status")["applied_revision"]
                for each in site.entries.values()
            ]
            assert set(applied) == {number + 2}, applied
    return {"changes": count, "entries": entries, "accepted_ms": percentiles(took)}


def restarts(rounds: int = 34, entries: int = 3) -> dict:
    """Entries killed and started again between changes, one by one and all at once."""
    reverts = restarted = 0
    with Site() as site:
        _start(site, entries)
        http_name = "entry-1"
        intent = sample_intent(list(site.engines), [])
        for number in range(rounds):
            intent["loads_per_minute"] = 7 + number % 2
            accepted = site.put_in_force(intent, http_name)
            names = list(site.entries)
            if number % 2:
                names = [names[number % entries]]
            for name in names:
                site.processes[name].kill()
            for name in names:
                site.launch_entry(name)
            for name in names:
                site.entry_listening(name)
            site.until_ready()
            restarted += len(names)
            for each in site.entries.values():
                applied = each.get("/operator/status")["applied_revision"]
                reverts += applied < accepted
    return {"restarts": restarted, "changes": rounds, "reverts": reverts}


def leaving(tries: int = 10) -> list[dict]:
    """From an endpoint's leaving to the last new request that it was given."""
    rows = []
    for name, options, fault in (
        ("the list lags 2 s", ("--lag-ms", "2000"), {}),
        ("the list is down", (), {"list_down": True}),
    ):
        with Site() as site:
            _start(site, 3, 3, *options)
            site.platform.fault(**fault)
            last = [_one_leaving(site, number) for number in range(tries)]
        rows.append({"when": name, "tries": tries, "last_new_ms": percentiles(last)})
    return rows


def _one_leaving(site: Site, number: int) -> float:
    stop = threading.Event()
    threads = [
        threading.Thread(target=_requests, args=(entry.port, number, name, stop))
        for name, entry in site.entries.items()
    ]
    for thread in threads:
        thread.start()
    engine = site.engines["engine-1"]
    engine.fault(leaving=True)
    marked = last = time.monotonic()
    runs = -1
    while time.monotonic() - marked < 2.0:
        now = engine.get("/status")["counters"]["runs"]
        if now != runs:
            runs, last = now, time.monotonic()
        time.sleep(0.01)
    stop.set()
    for thread in threads:
        thread.join()
    engine.fault(leaving=False)
    return (last - marked) * 1000


def _requests(port: int, number: int, name: str, stop: threading.Event) -> None:
    count = 0
    while not stop.is_set():
        count += 1
        request = {"model": "summary", "prompt": f"{name} {count}", "max_tokens": 2}
        Caller(request, "desk-key", f"l-{number}-{name}-{count}").post(port)


def store(answers: int = 20) -> dict:
    """Store operations and memory a long generation costs beside the shared journal."""
    with Site() as site:
        _start(site, 1)
        before = _platform(site)
        port = site.entries["entry-1"].port
        callers = [
            Caller(
                {"model": "summary", "prompt": "p" * 40_000, "max_tokens": 200},
                "ikeja-key",
                f"s-{number}",
            )
            for number in range(answers)
        ]
        threads = [threading.Thread(target=c.post, args=(port,)) for c in callers]
        started = time.monotonic()
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        took_s = time.monotonic() - started
        time.sleep(2)
        after = _platform(site)
        objects = site.platform.get("/control/state")["objects"]
        memory = memory_bytes(site.processes["entry-1"])
    return {
        "answers": answers,
        "tokens_each": 200,
        "took_s": took_s,
        **{key: after[key] - before[key] for key in before},
        "objects_left": len(objects),
        "memory_bytes": memory,
    }


def _platform(site: Site) -> dict[str, int]:
    return dict(site.platform.get("/control/state")["counts"])


if __name__ == "__main__":
    for row in [*idle(), changes(), restarts(), *leaving(), store()]:
        print(row)
