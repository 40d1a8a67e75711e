"""Stand-ins of the platform, its servers and its clients, for the cases of the review.

They use the standard library only, and do what the users' pages allow them.
"""
