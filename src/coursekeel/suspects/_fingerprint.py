"""The fingerprints of a request and of the parts of its prompt.

Repeats of a request are recognized by the first, and requests that share a part of
their prompts by the others.
"""

import hashlib

__all__ = ["is_part", "part_fingerprints", "request_fingerprint"]

# Long enough that a collision among a billion requests has a probability of about
# 10^-11, and that no caller can construct one.
_FINGERPRINT_BYTES = 12

# Fingerprints of parts begin with this, and have the length of all others.
_PART_PREFIX = "p-"
_PART_BYTES = 11
# A prompt has a few parts; more of them aren't looked at, so that a caller can't make
# each of its requests cost more than that.
_MAX_PARTS = 16


def request_fingerprint(team: str, *parts: bytes) -> str:
    """A digest that equal requests of one team share; ``parts`` are their content."""
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    digest.update(team.encode())
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


def part_fingerprints(
    pool: str, model: str, part_ids: tuple[str, ...]
) -> tuple[str, ...]:
    """Digests of a prompt's parts, which all requests for the pool's model share.

    A part that crashes endpoints under one model may be sound under another.
    """
    return tuple(
        _PART_PREFIX + _digest_of(pool, model, part_id)
        for part_id in part_ids[:_MAX_PARTS]
    )


def is_part(fingerprint: str) -> bool:
    """Whether a fingerprint is that of a part, rather than of a whole request."""
    return fingerprint.startswith(_PART_PREFIX)


def _digest_of(*texts: str) -> str:
    digest = hashlib.blake2b(digest_size=_PART_BYTES)
    for text in texts:
        encoded = text.encode()
        digest.update(b"%d:" % len(encoded))
        digest.update(encoded)
    return digest.hexdigest()
