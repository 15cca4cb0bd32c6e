"""Filter the headers that are forwarded between callers and plain services."""

HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


def forwarded_headers(headers):
    """Return the headers without the hop-by-hop ones, with names in lower case.

    Parameters
    ----------
    headers : twisted.web.http_headers.Headers

    Returns
    -------
    dict of str to list of str
    """
    passed = {}
    for name, values in headers.getAllRawHeaders():
        text = name.decode("latin-1").lower()
        if text not in HOP_BY_HOP_HEADERS:
            passed[text] = [value.decode("latin-1") for value in values]
    return passed
