"""Decoding of bytes that other programs wrote."""

import re

import msgspec

# Integers that a message or a record can carry.
MAX_INT = 2**63 - 1
# Brackets come in runs, as an element may be nested thousands of levels deep.
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[{]+|[\]}]+|[,:]', re.DOTALL)
# Nesting level of the elements of a list that is a member of an object.
ELEMENT_LEVEL = 2


class UndecodableError(ValueError):
    """Raised if bytes of another program can't be decoded, for whatever reason."""


def decode_foreign(decoder, data):
    """Decode bytes that another program wrote.

    Parameters
    ----------
    decoder : msgspec.json.Decoder or msgspec.msgpack.Decoder
    data : bytes

    Returns
    -------
    object

    Raises
    ------
    UndecodableError
        If they are malformed, nested too deeply, or contain a number out of range.
    """
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, OverflowError, UnicodeError) as error:
        raise UndecodableError(str(error)) from None


def split_list(data, name):
    """Split the elements off a list of a JSON object, however they are nested.

    Parameters
    ----------
    data : bytes
        A JSON object.
    name : bytes
        Member of the object with the list.

    Returns
    -------
    tuple of (bytes, list of bytes)
        The object with an empty list, and the text of each element.

    Raises
    ------
    UndecodableError
        If there is no such list, or it does not end.
    """
    splitter = _ListSplitter(data, b'"%b"' % name)
    for token in TOKEN.finditer(data):
        splitter.read(token.group(), token.start())
        if splitter.rest is not None:
            return splitter.rest, splitter.elements
    raise UndecodableError(f"there is no whole list {name.decode()!r}")


class _ListSplitter:
    """Read the tokens of a JSON object, without recursion."""

    def __init__(self, data, quoted_name):
        self.rest = None
        self.elements = []
        self._data = data
        self._quoted_name = quoted_name
        self._level = 0
        self._key = self._last_string = b""
        self._list_start = self._element_start = None

    def read(self, text, position):
        if text.startswith(b'"'):
            self._last_string = text
        elif text == b":":
            if self._level == 1:
                self._key = self._last_string
        elif text == b",":
            if self._is_in_list and self._level == ELEMENT_LEVEL:
                self._end_element(position)
        elif text[:1] in b"[{":
            self._open(text, position)
        else:
            self._close(text, position)

    @property
    def _is_in_list(self):
        return self._list_start is not None

    def _open(self, run, position):
        for offset in range(len(run)):
            if self._level >= ELEMENT_LEVEL:
                self._level += len(run) - offset
                return
            self._level += 1
            is_list = self._level == ELEMENT_LEVEL and run[offset : offset + 1] == b"["
            if is_list and self._key == self._quoted_name and not self._is_in_list:
                self._list_start = self._element_start = position + offset + 1

    def _close(self, run, position):
        inner = min(len(run), max(0, self._level - ELEMENT_LEVEL))
        self._level -= inner
        for offset in range(inner, len(run)):
            self._level -= 1
            if self._is_in_list and self.rest is None:
                self._end_element(position + offset)
                self.rest = self._data[: self._list_start] + self._data[position + offset :]

    def _end_element(self, position):
        element = self._data[self._element_start : position].strip()
        if element:
            self.elements.append(element)
        self._element_start = position + 1
