"""The OpenAPI file against the running entry: its paths, methods and statuses."""

import json
import re
from pathlib import Path

import pytest

from coursekeel.entry import Entry
from coursekeel.settings import parse_settings
from tests.common.sites import running_site

SPEC = json.loads((Path(__file__).parents[2] / "docs" / "openapi.json").read_text())
OPERATIONS = [(path, method) for path, row in SPEC["paths"].items() for method in row]


@pytest.fixture(scope="module")
def entry():
    with running_site(engines=1, services=1, entries=1) as site:
        yield site.entries["entry-1"]


@pytest.mark.parametrize(("path", "method"), OPERATIONS)
def test_without_a_key_each_operation_answers_as_documented(entry, path, method):
    url_path = path.replace("{service}", "booking").replace("{path}", "slots/1")
    url_path = re.sub(r"\{\w+\}", "nothing", url_path)
    entry.key = ""
    response = entry.open(method.upper(), url_path, {} if method == "post" else None)
    documented = SPEC["paths"][path][method]
    assert str(response.status) in documented["responses"]
    if "security" in documented:
        assert response.status == 401


def test_every_route_of_the_entry_is_documented():
    value = {"instance_id": "i", "zone": "z", "platform": {"base_url": "http://h"}}
    built_entry = Entry(object(), parse_settings(value, "test"))
    rules = built_entry.application().url_map.iter_rules()
    served = {re.sub(r"<(?:path:)?(\w+)>", r"{\1}", rule.rule) for rule in rules}
    assert served == set(SPEC["paths"])
