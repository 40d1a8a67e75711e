"""Whether a request is taken: rules, refusals, and the times that bound it."""

__all__: list[str] = []
