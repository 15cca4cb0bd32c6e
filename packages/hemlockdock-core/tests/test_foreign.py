"""Test the decoding of bytes that other programs wrote."""

import json
import random
import unittest

import msgspec

from hemlockdock_core.errors import InvalidInputError
from hemlockdock_core.foreign import UndecodableError, decode_foreign, split_list
from hemlockdock_core.manifest import parse_manifest
from hemlockdock_core.messages import NODE_CODEC
from hemlockdock_core.messages.codec import MalformedFrameError
from hemlockdock_core.routes import parse_routes
from hemlockdock_core.wire import own

DEPTHS = (1_000, 100_000)
ODD_TEXTS = (b"[" * 5_000 + b"]" * 5_000, b'"\\ud800"', b'"\xff"', b"1e400", b"", b"{", b"\x00")


def random_value(rng, depth=0):
    kind = rng.randrange(7 if depth < 4 else 4)
    if kind == 0:
        return rng.choice((None, True, -1, 1.5, 10**30))
    if kind < 4:
        return "".join(rng.choice('ab"\\[]{},:é') for _ in range(rng.randrange(6)))
    if kind < 6:
        return [random_value(rng, depth + 1) for _ in range(rng.randrange(4))]
    return {f"k{n}]": random_value(rng, depth + 1) for n in range(rng.randrange(4))}


class ForeignTest(unittest.TestCase):
    def test_every_failure_of_a_decoder_is_one_error(self):
        for text in ODD_TEXTS:
            for decoder in (msgspec.json.Decoder(int), msgspec.msgpack.Decoder(list[str])):
                with self.assertRaises(UndecodableError):
                    decode_foreign(decoder, text)

    def test_lists_are_split_like_a_decoder_reads_them(self):
        rng = random.Random(7)
        for _ in range(300):
            elements = [random_value(rng) for _ in range(rng.randrange(5))]
            page = {"a": random_value(rng), "list": elements, "z": random_value(rng)}
            data = json.dumps(page, indent=rng.choice((None, 1))).encode()
            rest, found = split_list(data, b"list")
            self.assertEqual(json.loads(rest), {**page, "list": []})
            self.assertEqual([json.loads(text) for text in found], elements)

    def test_elements_of_any_depth_are_split_off(self):
        for depth in DEPTHS:
            odd = b"[" * depth + b"]" * depth
            rest, found = split_list(b'{"list":[1,%b,2]}' % odd, b"list")
            self.assertEqual((rest, found), (b'{"list":[]}', [b"1", odd, b"2"]))

    def test_a_list_without_end_is_an_error(self):
        for data in (b"", b"[]", b'{"list":[1,2', b'{"list":7}', b'{"other":[]}'):
            with self.assertRaises(UndecodableError):
                split_list(data, b"list")


class ReadersTest(unittest.TestCase):
    def test_a_deeply_nested_manifest_is_invalid_input(self):
        for depth in DEPTHS:
            with self.assertRaises(InvalidInputError):
                parse_manifest(b'{"x":' + b"[" * depth + b"]" * depth + b"}", "m")

    def test_a_deeply_nested_frame_is_malformed(self):
        for depth in DEPTHS:
            with self.assertRaises(MalformedFrameError):
                NODE_CODEC.decode(b"\x91" * depth + b"\xc0")

    def test_deeply_nested_routes_and_numbers_out_of_range_are_invalid_input(self):
        manifest = b'[["LimitsRow",1,1,1,1,%b],[],[]]'
        parse_routes(own.WIRE, manifest % b"1", "r")
        for number in (b"[" * 5_000, b"1" + b"0" * 40, b"1e400"):
            with self.assertRaises(InvalidInputError):
                parse_routes(own.WIRE, manifest % number, "r")

    def test_one_odd_row_does_not_hide_the_others_of_the_directory(self):
        row = ["EndpointRow", "e", "p", "127.0.0.1:80", "d", 4, False]
        good = json.dumps(row).encode()
        other = json.dumps([*row[:3], "x:80", *row[4:]]).encode()
        for odd in (*ODD_TEXTS[:4], b"[]", other):
            page = own.WIRE.decode_directory(b"[%b,%b]" % (odd, good))
            self.assertEqual([item.endpoint_id for item in page.endpoints], ["e"], odd[:20])
            self.assertEqual(page.unreadable, 1)


if __name__ == "__main__":
    unittest.main()
