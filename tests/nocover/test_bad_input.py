"""Invalid input gets its documented error, and the entry keeps serving."""

import socket

import pytest

from tests.common.sites import dossier, running_site

VALID_REQUEST = {"model": "summary", "prompt": "x", "max_tokens": 5}


@pytest.fixture(scope="module")
def site():
    with running_site(engines=1, services=1, entries=1) as running:
        yield running


@pytest.fixture
def entry(site):
    client = site.entries["entry-1"]
    client.key = "desk-key"
    yield client
    client.key = "desk-key"
    assert client.ask("POST", "/v1/completions", VALID_REQUEST)[0] == 200


INVALID_BODIES = [
    (b"not json", "the body is not JSON"),
    (b"[1]", "JSON object"),
    ({"prompt": "x"}, "model"),
    ({**VALID_REQUEST, "model": "nobody"}, "unknown model"),
    ({**VALID_REQUEST, "prompt": ""}, "prompt"),
    ({**VALID_REQUEST, "prompt": [1, "a"]}, "prompt[0]"),
    ({**VALID_REQUEST, "max_tokens": 0}, "max_tokens"),
    ({**VALID_REQUEST, "max_tokens": "5"}, "max_tokens"),
    ({**VALID_REQUEST, "stream": "yes"}, "stream"),
    ({**VALID_REQUEST, "prompt": [{"type": "video"}]}, "prompt[0]"),
    (
        {
            **VALID_REQUEST,
            "prompt": [{"type": "image_url", "image_url": {"url": "http://a/b"}}],
        },
        "data: URL",
    ),
]


@pytest.mark.parametrize(("body", "expected_text"), INVALID_BODIES)
def test_an_invalid_request_is_refused_with_the_field(entry, body, expected_text):
    status, answer = entry.ask("POST", "/v1/completions", body)
    assert status == 400
    assert answer["error"]["code"] == "bad_request"
    assert answer["error"]["run"] == "not_run"
    assert expected_text in answer["error"]["message"]


@pytest.mark.parametrize("path", ["/v1/completions", "/services/booking/slots/1"])
def test_an_unknown_key_is_refused(entry, path):
    entry.key = "nobody"
    status, answer = entry.ask("POST", path, VALID_REQUEST)
    assert (status, answer["error"]["code"]) == (401, "bad_key")


@pytest.mark.parametrize("path", ["/operator/intent", "/operator/status"])
def test_a_team_key_is_refused_by_operator_routes(entry, path):
    assert entry.ask("GET", path)[0] == 401


def test_an_unknown_service_or_route_is_not_found(entry):
    assert entry.ask("GET", "/services/nothing/x")[0] == 404
    assert entry.ask("DELETE", "/services/booking/slots/1")[0] == 404


def test_a_bad_request_id_is_refused(entry):
    headers = {"idempotency-key": "a/b"}
    status, answer = entry.ask(
        "POST", "/v1/completions", VALID_REQUEST, headers=headers
    )
    assert (status, answer["error"]["code"]) == (400, "bad_request")


def test_a_refused_request_with_a_caller_key_has_run_unknown(entry):
    """Another entry may have run the request that this one refuses."""
    headers = {"idempotency-key": "known-elsewhere"}
    for path, body in (
        ("/v1/completions", b"not json"),
        ("/services/booking/nothing", {}),
    ):
        _, answer = entry.ask("POST", path, body, headers=headers)
        assert answer["error"]["run"] == "unknown"
        _, answer = entry.ask("POST", path, body)
        assert answer["error"]["run"] == "not_run"


def send_raw(entry, data: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", entry.port), timeout=30) as connection:
        connection.sendall(data)
        return connection.recv(4096)


@pytest.mark.parametrize("digits", [11, 20, 400, 5_000])
def test_a_body_over_the_limit_is_refused_by_its_length(entry, digits):
    head = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
    head += b"Content-Length: " + b"9" * digits + b"\r\n\r\n"
    assert send_raw(entry, head).startswith(b"HTTP/1.1 413")


def test_headers_over_the_limit_close_the_connection(entry):
    lines = b"".join(b"X-%d: %s\r\n" % (n, b"y" * 1000) for n in range(40))
    answer = send_raw(entry, b"GET /healthz HTTP/1.1\r\nHost: x\r\n" + lines + b"\r\n")
    assert b" 200 " not in answer


def test_many_headers_within_the_limit_are_served(entry):
    """More than 500 of them got 400."""
    lines = b"".join(b"X-%d: y\r\n" % n for n in range(600))
    answer = send_raw(entry, b"GET /healthz HTTP/1.1\r\nHost: x\r\n" + lines + b"\r\n")
    assert answer.startswith(b"HTTP/1.1 200 ")


def test_a_request_that_stalls_halfway_blocks_no_other(entry):
    with socket.create_connection(("127.0.0.1", entry.port)) as connection:
        connection.sendall(
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 9"
        )
        assert entry.ask("POST", "/v1/completions", VALID_REQUEST)[0] == 200


@pytest.mark.parametrize(
    "prompt",
    [
        "text",
        [1, 2, 3],
        [
            {"type": "text", "text": "flaws?"},
            {"type": "image_url", "image_url": {"url": "data:image/png;base64,AA"}},
        ],
    ],
)
def test_prompts_may_be_text_tokens_or_parts(entry, prompt):
    status, answer = entry.ask(
        "POST", "/v1/completions", {**VALID_REQUEST, "prompt": prompt}
    )
    assert status == 200
    assert len(answer["choices"][0]["token_ids"]) == 5


def test_chat_messages_are_answered_as_messages(entry):
    body = {"model": "summary", "max_tokens": 5}
    body["messages"] = [{"role": "user", "content": "hello"}]
    status, answer = entry.ask("POST", "/v1/chat/completions", body)
    assert status == 200
    assert answer["choices"][0]["message"]["content"]


def test_a_caller_that_disconnects_mid_stream_blocks_no_other(entry):
    response = entry.open(
        "POST", "/v1/completions", {**VALID_REQUEST, "max_tokens": 300, "stream": True}
    )
    response.readline()
    response.close()


def test_a_stream_without_a_caller_key_is_complete(site, entry):
    assert dossier(20, team="desk").post(entry.port).whole


def test_metrics_have_class_labels(entry):
    response = entry.open("GET", "/metrics")
    text = response.read().decode()
    assert 'coursekeel_first_token_seconds_count{class="interactive"' in text
