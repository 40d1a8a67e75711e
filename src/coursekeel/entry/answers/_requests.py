"""Parses and validates generation requests."""

from functools import cached_property
from typing import Any

import orjson
import xxhash
from attrs import frozen

from coursekeel.errors import RequestInvalid
from coursekeel.intents import ClassPolicy, Intent, ModelIntent, TeamIntent
from coursekeel.suspects import request_fingerprint

__all__ = ["GenerationRequest", "read_generation", "text_tokens"]

# The default of the OpenAI completions API.
_DEFAULT_MAX_TOKENS = 16
# Usual estimate for English text, only for comparing requests' costs; engines count
# exactly.
_CHARACTERS_PER_TOKEN = 4
# Estimated cost of an image.
_TOKENS_PER_IMAGE = 512
# Prompts with the same prefix of this length prefer the same endpoint: about the length
# of a system prompt.
_PREFIX_CHARACTERS = 1_024


@frozen
class GenerationRequest:
    """One valid request; ``body`` is the original bytes.

    ``keyed`` says whether the caller chose the request id, so that another entry may
    have received the same request.
    """

    team: TeamIntent
    request_id: str
    keyed: bool
    model: ModelIntent
    policy: ClassPolicy
    body: bytes
    prompt_tokens: int
    max_tokens: int
    prompt_key: str
    stream: bool = False
    chat: bool = False

    @property
    def part_fingerprints(self) -> tuple[str, ...]:
        """None: prompts of the product's own engines don't name their parts."""
        return ()

    @cached_property
    def fingerprint(self) -> str:
        """Fingerprint of team and body, equal for repeated requests at any entry."""
        return request_fingerprint(self.team.name, b"generation", self.body)


def read_generation(
    body: bytes,
    team: TeamIntent,
    intent: Intent,
    request_id: str,
    keyed: bool,
    max_tokens_limit: int,
) -> GenerationRequest:
    """Parse a request; raises `RequestInvalid` with the path of the invalid field."""
    try:
        raw = orjson.loads(body)
    except ValueError as failure:
        raise RequestInvalid("", f"the body is not JSON: {failure}") from failure
    if not isinstance(raw, dict):
        raise RequestInvalid("", "the body must be a JSON object")
    model = _model(raw, team, intent)
    chat = "messages" in raw
    prompt = raw.get("messages" if chat else "prompt")
    path = "messages" if chat else "prompt"
    prompt_tokens, text = _prompt(prompt, path)
    return GenerationRequest(
        team=team,
        request_id=request_id,
        keyed=keyed,
        model=model,
        policy=intent.request_class(team.request_class),
        body=body,
        prompt_tokens=prompt_tokens,
        max_tokens=_integer(
            raw, "max_tokens", _DEFAULT_MAX_TOKENS, 1, max_tokens_limit
        ),
        prompt_key=xxhash.xxh64_hexdigest(
            f"{team.name}\n{text[:_PREFIX_CHARACTERS]}".encode()
        ),
        stream=_boolean(raw, "stream"),
        chat=chat,
    )


def _model(raw: dict[str, Any], team: TeamIntent, intent: Intent) -> ModelIntent:
    name = raw.get("model")
    if not isinstance(name, str):
        raise RequestInvalid("model", f"expected a model's name, got {name!r:.40}")
    model = intent.model(name)
    if model is None or name not in team.models:
        allowed = ", ".join(team.models) or "none"
        raise RequestInvalid("model", f"unknown model {name!r:.80}; yours: {allowed}")
    return model


def _integer(
    raw: dict[str, Any], name: str, default: int, minimum: int, maximum: int
) -> int:
    value = raw.get(name, default)
    if type(value) is not int or not minimum <= value <= maximum:
        expected = f"expected a whole number from {minimum} to {maximum}"
        raise RequestInvalid(name, f"{expected}, got {value!r:.40}")
    return value


def _boolean(raw: dict[str, Any], name: str) -> bool:
    value = raw.get(name, False)
    if not isinstance(value, bool):
        raise RequestInvalid(name, f"expected true or false, got {value!r:.40}")
    return value


def _prompt(prompt: Any, path: str) -> tuple[int, str]:
    """The estimated number of tokens, and the text for the prefix key."""
    if isinstance(prompt, str) and prompt:
        return text_tokens(prompt), prompt
    if isinstance(prompt, list) and prompt:
        if all(type(each) is int and each >= 0 for each in prompt):
            return len(prompt), repr(prompt[:_PREFIX_CHARACTERS])
        return _parts(prompt, path)
    expected = "expected text, token ids, or a list of content parts"
    raise RequestInvalid(path, f"{expected}, got {prompt!r:.40}")


def _parts(parts: list[Any], path: str) -> tuple[int, str]:
    tokens = 0
    texts = []
    for index, part in enumerate(parts):
        part_tokens, text = _part(part, f"{path}[{index}]")
        tokens += part_tokens
        texts.append(text)
    return tokens, "\n".join(texts)


def _part(part: Any, path: str) -> tuple[int, str]:
    if not isinstance(part, dict):
        raise RequestInvalid(path, f"expected an object, got {part!r:.40}")
    if "content" in part:
        return _prompt(part["content"], f"{path}.content")
    match part.get("type"):
        case "text" if isinstance(part.get("text"), str):
            return text_tokens(part["text"]), part["text"]
        case "image_url" if isinstance(part.get("image_url"), dict):
            return _TOKENS_PER_IMAGE, _image_digest(part["image_url"], path)
        case part_type:
            expected = "expected a part of type text or image_url with its content"
            raise RequestInvalid(path, f"{expected}, got type {part_type!r:.40}")


def _image_digest(image: dict[str, Any], path: str) -> str:
    url = image.get("url")
    if not isinstance(url, str) or not url.startswith("data:"):
        # Fetching a caller's URL would give it access to the platform's network.
        expected = "expected the image itself as a data: URL"
        raise RequestInvalid(f"{path}.image_url.url", f"{expected}, got {url!r:.40}")
    return xxhash.xxh64_hexdigest(url.encode())


def text_tokens(text: str) -> int:
    """The estimated number of tokens of a text."""
    return max(1, len(text) // _CHARACTERS_PER_TOKEN)
