"""Roll-outs at a gateway: which version a request meets, and who judges it."""

__all__: list[str] = []
