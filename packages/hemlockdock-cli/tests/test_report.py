"""Test the tables and plots that are made from journals."""

import tempfile
import unittest
from pathlib import Path

import msgspec

from hemlockdock_cli.command_error import CommandError
from hemlockdock_cli.report import DayScore, ScoreRecord, plot_scores, read_records, report_lines

NATIVE_READER = "hemlockdock_cli.report.own"


def day(name="calm", worth=0.5, passed=True, high_mark=0.7):
    return DayScore(name, worth, 0.1, high_mark, 0.9, 0.05, 0.05, passed)


def record(at="2026-12-01T10:00:00Z", site="north", score=0.6, days=None):
    return ScoreRecord(at, site, "abcdef0123", "try it", score, days or (day(),))


class ReportTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name, *records):
        path = self.folder / name
        path.write_bytes(b"\n".join(msgspec.json.encode(item) for item in records))
        return str(path)

    def test_runs_are_sorted_by_time_within_each_site(self):
        late = record("2026-12-02T10:00:00Z", score=0.7)
        path = self.write("a", late, record(), record(site="south"))
        lines = report_lines(read_records([path], NATIVE_READER))
        self.assertIn("north", lines[0])
        self.assertIn("2026-12-01", lines[2])
        self.assertIn("0.700", lines[3])
        self.assertTrue(any("south" in line for line in lines))

    def test_every_file_of_a_folder_is_read(self):
        self.write("a.json", record())
        self.write("b.json", record(score=None))
        self.assertEqual(len(read_records([self.folder], NATIVE_READER)), 2)

    def test_a_day_that_did_not_pass_is_marked(self):
        path = self.write("a", record(days=(day(passed=False),)))
        self.assertIn("0.500!", "\n".join(report_lines(read_records([path], NATIVE_READER))))

    def test_a_wrong_field_is_named(self):
        path = self.folder / "a"
        path.write_text('{"at": 3}')
        with self.assertRaises(CommandError) as raised:
            read_records([str(path)], NATIVE_READER)
        self.assertIn("$.at", str(raised.exception))

    def test_a_missing_file_and_an_unknown_reader_are_named(self):
        for paths, reader, named in (
            (["none"], NATIVE_READER, "none"),
            ([], "no.reader", "no.reader"),
        ):
            with self.assertRaises(CommandError) as raised:
                read_records(paths, reader)
            self.assertIn(named, str(raised.exception))

    def test_a_plot_shows_the_runs_that_have_a_score(self):
        path = self.folder / "plot.svg"
        runs = [record(), record(score=None), record(score=0.8)]
        self.assertEqual(plot_scores(runs, "north", str(path)), 2)
        self.assertIn(b"<svg", path.read_bytes())
        self.assertEqual(plot_scores(runs, "elsewhere", str(path)), 0)


if __name__ == "__main__":
    unittest.main()
