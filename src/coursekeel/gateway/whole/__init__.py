"""Answers that are whole bodies: their tries, one after the other."""

__all__: list[str] = []
