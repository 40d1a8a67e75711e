"""The entry's answers: tasks, readers, journal, the taking over of others' answers."""

__all__: list[str] = []
