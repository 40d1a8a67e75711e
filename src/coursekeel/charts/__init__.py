"""State charts kept as data, checked at start and built into `automat` machines."""

from coursekeel.charts._chart import Chart, Machine, load_chart, parse_chart

__all__ = ["Chart", "Machine", "load_chart", "parse_chart"]
