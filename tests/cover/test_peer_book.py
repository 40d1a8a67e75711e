"""Which addresses of other entries are known, and from where."""

from random import Random

from coursekeel.membership import Greeting, PeerBook


def greeting(name: str, address: str = "") -> Greeting:
    return Greeting(name, f"{name}~1", 1, 1, False, address=address)


def test_a_greeting_gives_the_address_of_a_peer_that_is_not_listed():
    """Guards against an entry that can't reach peers that greet it."""
    book = PeerBook("entry-1", Random(1))
    book.record_greeting(greeting("entry-2"))
    assert book.without_address == ["entry-2"]
    assert book.peers_to_greet() == []
    book.record_greeting(greeting("entry-2", "10.0.0.2:7"))
    assert book.address("entry-2") == "10.0.0.2:7"
    assert book.without_address == []
    assert book.peers_to_greet() == ["entry-2"]


def test_the_listed_address_of_a_peer_is_kept():
    book = PeerBook("entry-1", Random(1))
    book.set_listed({"entry-1": "10.0.0.1:7", "entry-2": "10.0.0.2:7"})
    book.record_greeting(greeting("entry-2", "10.0.0.9:7"))
    assert book.address("entry-2") == "10.0.0.2:7"
