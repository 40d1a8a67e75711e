"""The fault soak: a group of gateways as real processes, faults from outside, promises.

`python -m soak run --seed 7` starts gateways, the platform's stand-in with its engines
and services, and callers; plays a schedule of faults that the seed gives; and checks
what callers and endpoints saw against the promises of docs/PROMISES.md. Ends only what
it started, in bounded time.
"""

__all__: list[str] = []
