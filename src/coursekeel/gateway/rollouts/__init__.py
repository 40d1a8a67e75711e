"""Roll-outs at a gateway: which version serves a request, and how it is evaluated."""

__all__: list[str] = []
