"""The history of one request, from the logs of any number of instances."""

from coursekeel.explain._explain import Explanation, LogLine, explain, parse_line

__all__ = ["Explanation", "LogLine", "explain", "parse_line"]
