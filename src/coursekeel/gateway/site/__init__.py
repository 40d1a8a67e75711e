"""The cached configuration and endpoints of the site, and how the store is followed."""

__all__: list[str] = []
