"""Generate answers that depend only on the request body, so that tests can check them."""

import hashlib
import json

TOKEN_HEX_DIGITS = 6


def token_texts(body, count):
    """Return the tokens of the answer to a request.

    Parameters
    ----------
    body : bytes
    count : int

    Returns
    -------
    list of str
    """
    seed = hashlib.sha256(body).digest()
    texts = []
    for index in range(count):
        digest = hashlib.blake2b(seed, digest_size=4, salt=index.to_bytes(8, "big")).hexdigest()
        texts.append(digest[:TOKEN_HEX_DIGITS] + " ")
    return texts


def event(text):
    """Return one server-sent event with a token.

    Parameters
    ----------
    text : str

    Returns
    -------
    bytes
    """
    return b'data: {"choices":[{"index":0,"delta":{"content":"%s"}}]}\n\n' % text.encode()


DONE_EVENT = b"data: [DONE]\n\n"


def stream_body(body, count):
    """Return the complete body of a streamed answer.

    Parameters
    ----------
    body : bytes
        Body of the request.
    count : int

    Returns
    -------
    bytes
    """
    return b"".join(event(text) for text in token_texts(body, count)) + DONE_EVENT


def answer_body(body, count):
    """Return the complete body of an answer that is not streamed.

    Parameters
    ----------
    body : bytes
        Body of the request.
    count : int

    Returns
    -------
    bytes
    """
    text = "".join(token_texts(body, count))
    answer = {"choices": [{"index": 0, "message": {"role": "assistant", "content": text}}]}
    return json.dumps(answer).encode()
