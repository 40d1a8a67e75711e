"""What entries say to each other over gRPC; the code beside is generated."""
