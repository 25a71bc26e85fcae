"""An event log that keeps its events."""


class RecordedEvents:
    """Keeps the name and the fields of each event."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, object]]] = []

    def info(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))

    def notice(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))
