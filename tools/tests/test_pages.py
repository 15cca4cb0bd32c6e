"""Test that documentation pages and samples agree with the code and with each other."""

import json
import re
import sys
import unittest
from pathlib import Path

TOOLS = Path(__file__).parent.parent
ROOT = TOOLS.parent
sys.path.insert(0, str(TOOLS))

import generate_pages  # noqa: E402

from hemlockdock_cli.commands import Commands  # noqa: E402
from hemlockdock_core.manifest import parse_manifest  # noqa: E402
from hemlockdock_core.settings.settings import Settings  # noqa: E402

LINK = re.compile(r"\]\(([^)#]+)(?:#[^)]*)?\)")
COMMAND = re.compile(r"(?:^    |`)hemlockdock (?:--\S+ \S+ )*([a-z]+)", re.MULTILINE)
LOCAL_PATH = re.compile(r"(?<![\w.])/(?:work|root|home|tmp)/")


def pages():
    """Return the paths of all Markdown pages."""
    return [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]


class PagesTest(unittest.TestCase):
    def test_generated_pages_are_up_to_date(self):
        for name, generate in generate_pages.PAGE_BY_NAME.items():
            self.assertEqual((ROOT / "docs" / name).read_text(), generate(), name)

    def test_link_targets_exist(self):
        for page in pages():
            for target in LINK.findall(page.read_text()):
                if "://" in target:
                    continue
                self.assertTrue((page.parent / target).exists(), f"{page.name}: {target}")

    def test_commands_on_pages_exist(self):
        for page in pages():
            for name in COMMAND.findall(page.read_text()):
                known = hasattr(Commands, name) or name in ("check", "members")
                self.assertTrue(known, f"{page.name}: hemlockdock {name}")

    def test_no_page_contains_a_local_path(self):
        for page in pages():
            self.assertIsNone(LOCAL_PATH.search(page.read_text()), page.name)


class SamplesTest(unittest.TestCase):
    def test_manifests_are_valid_and_have_the_documented_size(self):
        for name, models, adapters in (("gt-altiplano", 60, 100), ("mct", 40, 100)):
            text = (ROOT / "samples" / name / "manifest.json").read_text()
            manifest = parse_manifest(text, name)
            self.assertEqual((len(manifest.models), len(manifest.adapters)), (models, adapters))

    def test_settings_have_only_known_sections_and_keys(self):
        import configparser

        for path in sorted((ROOT / "samples").glob("*/*.ini")):
            parser = configparser.ConfigParser(interpolation=None)
            parser.read(path)
            for section in parser.sections():
                fields = Settings.model_fields[section].annotation.model_fields
                self.assertLessEqual(set(parser[section]), set(fields), json.dumps(str(path.name)))


if __name__ == "__main__":
    unittest.main()
