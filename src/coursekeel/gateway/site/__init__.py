"""What is known of the site, and how the store is followed."""

__all__: list[str] = []
