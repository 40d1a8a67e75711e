"""State charts as JSON, checked when loaded and built into `automat` machines."""

from coursekeel.charts._chart import Chart, Machine, load_chart, parse_chart

__all__ = ["Chart", "Machine", "load_chart", "parse_chart"]
