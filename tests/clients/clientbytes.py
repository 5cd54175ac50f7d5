# This file is part of loomjunction.
# SPDX-License-Identifier: BSD-2-Clause
"""Bytes that clients outside the limits send."""

import itertools

from crowd import PIECE_BYTES

_number = itertools.count()


def head(lines, target="/desk/a", method="POST"):
    """The head of a request, ended; each has an id of its own."""
    return ("%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\nLoomjunction-Request-Id: crowd%d\r\n%s\r\n"
            % (method, target, next(_number), "".join(line + "\r\n" for line in lines))).encode()


CHUNKED = ["Transfer-Encoding: chunked"]


def pieces(first, repeated, total):
    """@p first, and then @p repeated until @p total bytes are out."""
    yield first
    block = repeated * max(1, PIECE_BYTES // len(repeated))
    for _ in range(total // len(block)):
        yield block


def endless_trailers(total):
    return pieces(head(CHUNKED) + b"1\r\nx\r\n0\r\n", b"X-Trailer: " + b"y" * 1000 + b"\r\n", total)


def endless_trailer(total):
    return pieces(head(CHUNKED) + b"1\r\nx\r\n0\r\nX-Trailer: ", b"y" * 1024, total)


def endless_extension(total):
    return pieces(head(CHUNKED) + b"1;a=", b"y" * 1024, total)


def endless_size(total):
    return pieces(head(CHUNKED), b"0" * 1024, total)


def body_by_length(length, sent):
    return pieces(head(["Content-Length: %d" % length]), b"x" * 1024, sent)


def body_as_one_chunk(length, sent):
    return pieces(head(CHUNKED) + b"%x\r\n" % length, b"x" * 1024, sent)


def body_in_chunks(size, sent):
    """Chunks of @p size bytes, without the last one."""
    framed = b"%x\r\n" % size + b"x" * size + b"\r\n"
    return pieces(head(CHUNKED), framed, sent * len(framed) // size)


def whole_request(length, target="/desk/a"):
    """Ends where the last piece ends, so @p length has to be a multiple of a piece."""
    return pieces(head(["Content-Length: %d" % length], target), b"x" * 1024, length)


def unfinished_head(size):
    first = head([])[:-2]
    yield first + b"X-Pad: " + b"y" * (size - len(first))


def large_answer():
    yield head(["Content-Length: 0"], "/desk/large")


def nothing():
    return iter(())


def pipelined(length, total):
    """A large request, which widens the window, one that the replica holds, and more behind it."""
    yield from whole_request(length)
    first = head(["Content-Length: 0"], "/held/a")
    yield from pieces(first, head(["Content-Length: %d" % 65536]) + b"x" * 65536, total)
