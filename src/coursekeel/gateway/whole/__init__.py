"""Answers with a whole body: their tries, one after the other."""

__all__: list[str] = []
