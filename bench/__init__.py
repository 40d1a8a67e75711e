"""Bounded measurements on loopback: ``make bench``.

The users' bench plays deployments, load and faults before a gateway. What stays here is
what it can't do:

- `relay`, `copy_relay`, `reader`, `delivery`, `control`, `faulted` and `resume` measure
  the entry role, which the users' bench doesn't play, with real processes;
- `capacity`, `policy` and `recovery` drive the cores alone, at sizes beyond one machine
  and beside naive ways, and run without the users' bench;
- `days/` holds days for the users' bench (`tools.play_days`).
"""
