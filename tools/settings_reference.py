"""Write `docs/settings.md`: every setting with its type, default and bounds."""

from pathlib import Path
from typing import Any, get_args, get_origin

import attrs

from coursekeel.settings import EntrySettings, GatewaySettings

__all__ = ["settings_reference"]

PAGE = Path(__file__).parents[1] / "docs" / "settings.md"
_HEAD = """# Settings

Made from the settings' model by `python -m tools.settings_reference`. A file is JSON
with comments; `coursekeel check --settings FILE` names every bad key at once. The unit
is the end of the name.
"""


def settings_reference() -> str:
    """The whole page."""
    return "\n".join(
        [_HEAD, _role("Gateway", GatewaySettings), _role("Entry", EntrySettings)]
    )


def _role(title: str, kind: type[Any]) -> str:
    names = "| setting | type | default | bounds |"
    rule = "| --- | --- | --- | --- |"
    return "\n".join([f"## {title}", "", names, rule, *_rows(kind, "")]) + "\n"


def _rows(kind: type[Any], path: str) -> list[str]:
    rows: list[str] = []
    for each in attrs.fields(kind):
        name = f"{path}{each.name}"
        if attrs.has(each.type):
            rows += _rows(each.type, f"{name}.")
        else:
            cells = (f"`{name}`", _type(each.type), _default(each), _bounds(each))
            rows.append(f"| {' | '.join(cells)} |")
    return rows


def _type(kind: Any) -> str:
    if get_origin(kind) is tuple:
        return f"list of {_type(get_args(kind)[0])}"
    names = [part.__name__ for part in get_args(kind) or (kind,)]
    return " or ".join("null" if name == "NoneType" else name for name in names)


def _default(each: Any) -> str:
    if each.default is attrs.NOTHING:
        return "required"
    return f"`{each.default!r}`"


def _bounds(each: Any) -> str:
    least, most = each.metadata.get("least"), each.metadata.get("most")
    given = [f"at least {least}"] if least is not None else []
    given += [f"at most {most}"] if most is not None else []
    return ", ".join(given)


def main() -> None:
    """Write the page."""
    PAGE.write_text(settings_reference())


if __name__ == "__main__":
    main()
