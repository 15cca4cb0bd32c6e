"""Report how scores change over versions."""

from hemlockdock_cli.report.plot import plot_scores
from hemlockdock_cli.report.read import read_records
from hemlockdock_cli.report.score import DayScore, ScoreRecord
from hemlockdock_cli.report.table import report_lines

__all__ = ["DayScore", "ScoreRecord", "plot_scores", "read_records", "report_lines"]
