"""The gRPC messages between entries; the other modules here are generated."""
