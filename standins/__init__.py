"""Small stand-ins for the outside systems, for tests, the demo and the bench.

They speak the published protocols of docs/design/protocols.md; faults are set over
HTTP. Nothing here ships with the product.
"""
