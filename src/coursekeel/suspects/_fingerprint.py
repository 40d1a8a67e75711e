"""The fingerprint of a request, by which repeats of it are recognized."""

import hashlib

__all__ = ["request_fingerprint"]

# Long enough that a collision among a billion requests has a probability of about
# 10^-11, and that no caller can construct one.
_FINGERPRINT_BYTES = 12


def request_fingerprint(team: str, *parts: bytes) -> str:
    """A digest that equal requests of one team share; ``parts`` are their content."""
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    digest.update(team.encode())
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()
