"""What is the same request, whatever its id and the instance that it came to."""

import hashlib

__all__ = ["request_fingerprint"]

# Bytes of a fingerprint: two of a billion requests are alike by chance with odds of one
# in 10^11, and nobody can make one that is like another's.
_FINGERPRINT_BYTES = 12


def request_fingerprint(team: str, *parts: bytes) -> str:
    """The same for what the same team asks again; ``parts`` are what it asks."""
    asked = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    asked.update(team.encode())
    for part in parts:
        asked.update(b"%d:" % len(part))
        asked.update(part)
    return asked.hexdigest()
