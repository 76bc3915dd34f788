"""Texts of the parser's errors without the bytes that it quotes."""

import re

import h11

QUOTED_BYTES = re.compile(r": (?:bytearray\()?b['\"].*", re.DOTALL)
"""What h11 appends to some texts: a whole line, which may contain the key of a customer."""


def describe(error: h11.ProtocolError) -> str:
    """Return the text of an error, for the log and for callers.

    Examples
    --------
    >>> describe(h11.RemoteProtocolError("illegal header line: bytearray(b'api-key: k')"))
    'illegal header line'
    >>> describe(h11.RemoteProtocolError("Missing mandatory Host: header"))
    'Missing mandatory Host: header'
    """
    return QUOTED_BYTES.sub("", str(error))
