"""Test keys of suspects, and that the version before reads what is sent of them."""

import unittest

import msgspec

from hemlockdock_core.commands import RecordCrash, ReleaseQuarantine
from hemlockdock_core.rows import QuarantineRow
from hemlockdock_core.suspect_keys import is_part, part_key

# As the version before whole and partial reports has them.
OLD_TYPE_BY_NAME = {
    "QuarantineRow": [("fingerprint", str), ("crashes", int), ("refused", bool), ("until_ms", int)],
    "RecordCrash": [
        ("crash_id", str),
        ("node_id", str),
        ("fingerprints", list[str]),
        ("at_ms", int),
    ],
    "ReleaseQuarantine": [("fingerprint", str), ("who", str), ("at_ms", int)],
}


def old_type(name):
    fields = OLD_TYPE_BY_NAME[name]
    return msgspec.defstruct(name, fields, array_like=True, tag=True, frozen=True)


class KeyTest(unittest.TestCase):
    def test_a_part_is_told_from_a_whole_request(self):
        self.assertTrue(is_part(part_key("5c1e07a2")))
        self.assertFalse(is_part("5c1e07a2" * 4))


class VersionBeforeTest(unittest.TestCase):
    def test_it_reads_the_fields_that_it_knows(self):
        sent = (
            QuarantineRow("part:p", 3, True, 9, ("a@1", "b@2")),
            RecordCrash("e", "entry-1", ["f"], 9, False, {"f": ("p",)}),
            ReleaseQuarantine("f", "entry-1: answered", 9, ("g",)),
        )
        for message in sent:
            known = old_type(type(message).__name__)
            with self.subTest(type=known.__name__):
                read = msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=known)
                for name in known.__struct_fields__:
                    self.assertEqual(getattr(read, name), getattr(message, name))

    def test_what_it_sends_is_read(self):
        sent = (
            (QuarantineRow, ("f", 2, True, 9)),
            (RecordCrash, ("crash-1", "agent-1", ["f"], 9)),
            (ReleaseQuarantine, ("f", "operator", 9)),
        )
        for current, values in sent:
            with self.subTest(type=current.__name__):
                data = msgspec.msgpack.encode(old_type(current.__name__)(*values))
                self.assertEqual(msgspec.msgpack.decode(data, type=current), current(*values))


if __name__ == "__main__":
    unittest.main()
