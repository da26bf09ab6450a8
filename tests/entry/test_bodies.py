"""Bodies in chunks and with a length, against the receivers of waitress."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from waitress.buffers import OverflowableBuffer
from waitress.receiver import ChunkedReceiver

from bergamotshore.entry.bodies import ChunkedBody, SizedBody

NEXT_REQUEST = b"GET /next HTTP/1.1\r\n\r\n"


def build_chunks(parts, trailer=b""):
    chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts if part]
    return b"".join(chunks) + b"0\r\n" + trailer + b"\r\n"


def feed(body, wire, cuts=()):
    """Hand bytes to a body in pieces; return how many it took."""
    edges = [0, *sorted(cuts), len(wire)]
    consumed = 0
    for start, end in zip(edges, edges[1:], strict=False):
        if body.completed or body.error or start == end:
            continue
        consumed += body.received(wire[start:end])
    return consumed


CONTENT = st.lists(
    st.one_of(
        st.binary(max_size=20),
        st.sampled_from([b"\r\n\r\n", b"\r\n", b"0\r\n\r\n", b"\r\n0\r\n\r"]),
    ),
    max_size=12,
)


@given(CONTENT, st.sampled_from([b"", b"Digest: x\r\n"]), st.data())
def test_chunked_body_ends_where_its_last_chunk_does(parts, trailer, data):
    wire = build_chunks(parts, trailer)
    text = wire + NEXT_REQUEST
    cuts = data.draw(st.lists(st.integers(0, len(text)), max_size=8))
    body = ChunkedBody()
    consumed = feed(body, text, cuts)
    assert body.completed
    assert body.error is None
    assert consumed == len(wire)
    assert body.getfile().read() == b"".join(parts)
    assert len(body) + body.framing == len(wire)


@given(CONTENT, st.data())
def test_chunked_body_equals_that_of_waitress(parts, data):
    wire = build_chunks(parts)
    cuts = data.draw(st.lists(st.integers(0, len(wire)), max_size=8))
    body = ChunkedBody()
    receiver = ChunkedReceiver(OverflowableBuffer(1 << 20))
    assert feed(body, wire, cuts) == feed(receiver, wire, cuts)
    assert body.content == receiver.getbuf().get()


@pytest.mark.parametrize(
    "wire",
    [
        b"zz\r\n",
        b"1\r\nxy\r\n",
        b"-1\r\n",
        b"f" * 20 + b"\r\n",
        b"1\r\nx\r\n0\r\nno colon\r\n\r\n",
    ],
)
def test_invalid_chunks_are_an_error(wire):
    body = ChunkedBody()
    feed(body, wire)
    assert body.error.code == 400
    assert not body.completed


def test_framing_without_content_is_pending():
    body = ChunkedBody()
    body.received(b"1;" + b"x" * 5000)
    assert body.pending == 5002
    body.received(b"\r\ny\r\n")
    assert body.pending == 0
    assert body.framing == 5002 + 4


@given(st.binary(min_size=1, max_size=50), st.data())
def test_sized_body_takes_its_length(content, data):
    text = content + NEXT_REQUEST
    cuts = data.draw(st.lists(st.integers(0, len(text)), max_size=5))
    body = SizedBody(len(content))
    assert feed(body, text, cuts) == len(content)
    assert body.completed
    assert body.getfile().read() == content
    assert len(body) == len(content)
