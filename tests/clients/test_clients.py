# This file is part of loomjunction.
# SPDX-License-Identifier: BSD-2-Clause
"""A gateway process against clients outside the limits.

  test_clients.py CASE...    runs these cases
  test_clients.py --list     names all cases
  test_clients.py --measure  runs all, and prints a row of figures each

Each case checks that the process lives, that its memory and descriptors stay within those of the
smallest box, and that an ordinary request is answered while the clients are still connected and
after they have gone.
"""

import resource
import sys
import time

from crowd import Client, Crowd
from fleet import BODY_BYTES, HEADER_BYTES, AgentFleet, EntryFleet, Fleet, wait_for
from clientbytes import (body_as_one_chunk, body_by_length, body_in_chunks, endless_extension,
                         endless_size, endless_trailer, endless_trailers, large_answer, nothing,
                         pipelined, unfinished_head, whole_request)

BOX_MB = 160
BOX_DESCRIPTORS = 4100
FILE_DESCRIPTORS = 200  # of them, which sockets can't use
MAX_GROWTH_MB = 100  # above calm, whatever the size of the box
STOP_MB = 500
ENDLESS_BYTES = 40_000_000
SHORT_BYTES = BODY_BYTES - 64 * 1024
SURPLUS_BYTES = 1024 * 1024  # of a client that goes beyond a limit by mistake
MAX_KEPT_GROWTH_MB = 10  # that a process keeps more after the last crowd than after the first
ROUNDS = 3
LAST_CHUNK = b"0\r\n\r\n"
EMPTY_BODY = b"\r\nContent-Length: 0\r\n\r\n"

MEASURED = []
KEPT_MB = []


def check(fleet, crowd, stage):
    process = fleet.process
    process.sample()
    told = (stage, "%.0f MB" % process.most_mb, "calm %.0f MB" % fleet.calm_mb,
            "%d descriptors" % process.most_descriptors,
            "%d of %d clients open" % (crowd.open_count(), len(crowd.clients)))
    assert process.is_alive(), told
    assert process.most_mb <= min(BOX_MB, fleet.calm_mb + MAX_GROWTH_MB), told
    limit = getattr(fleet, "descriptors", None) or BOX_DESCRIPTORS
    assert process.most_descriptors <= limit - FILE_DESCRIPTORS, told


def play(make_clients, make_target=Fleet, rounds=1, **options):
    """Lets clients connect and send, in each round on a calm process again."""
    with make_target(**options) as fleet:
        fleet.descriptors = options.get("descriptors")
        calm_descriptors = fleet.process.descriptors()
        kept_mb = []  # after each crowd
        for number in range(rounds):
            began = time.monotonic()
            with Crowd(fleet.process, make_clients(fleet), STOP_MB) as crowd:
                seconds = time.monotonic() - began
                MEASURED.append((fleet.process.most_mb, seconds, fleet.process.most_descriptors,
                                 crowd.open_count(), len(crowd.clients),
                                 sum(client.is_reset for client in crowd.clients)))
                check(fleet, crowd, "round %d" % number)
                wait_for("an answer beside the clients", fleet.answers)
                check(fleet, crowd, "round %d, after an answer" % number)
            fleet.release()
            wait_for("an answer without the clients", fleet.answers)
            wait_for("closed connections",
                     lambda: fleet.process.descriptors() <= calm_descriptors + 8)
            check(fleet, crowd, "round %d, after the clients" % number)
            kept_mb.append(fleet.process.memory_mb())
            KEPT_MB.append(kept_mb[-1])
        assert kept_mb[-1] <= kept_mb[0] + MAX_KEPT_GROWTH_MB, kept_mb


def crowd_of(count, make_pieces, port="callers"):
    return lambda fleet: [Client(fleet.ports[port], make_pieces()) for _ in range(count)]


def endless(make_pieces, port="callers", make_target=Fleet):
    return lambda: play(crowd_of(8, lambda: make_pieces(ENDLESS_BYTES), port), make_target)


def short_bodies(make_pieces, port="callers", make_target=Fleet):
    return lambda: play(crowd_of(80, make_pieces, port), make_target, rounds=ROUNDS)


def short_bodies_by_length():
    return body_by_length(BODY_BYTES, SHORT_BYTES)


# Guards against limits that a single proper request meets.
def large_requests_in_calm():
    requests = {
        "by length": [b"".join(whole_request(BODY_BYTES))],
        "in one chunk": [b"".join(body_as_one_chunk(BODY_BYTES, BODY_BYTES)) + b"\r\n" + LAST_CHUNK],
        "in large chunks": [b"".join(body_in_chunks(64 * 1024, BODY_BYTES)) + LAST_CHUNK],
        "in chunks of a byte": [b"".join(body_in_chunks(1, 64 * 1024)) + LAST_CHUNK],
        "with a large head": [b"".join(unfinished_head(HEADER_BYTES - 512)) + EMPTY_BODY],
        "with a trailer": [b"".join(body_in_chunks(1024, 1024)) + b"0\r\nX-Trailer: y\r\n\r\n"],
    }
    with Fleet() as fleet:
        for name, request in requests.items():
            client = Client(fleet.ports["callers"], request)
            with Crowd(fleet.process, [client], STOP_MB) as crowd:
                crowd.wait_for_answers()
                assert client.status() == 200, (name, client.answer)


# Guards against refusals that their clients lose to a reset while they are still sending.
def refusals_are_read():
    over = BODY_BYTES + SURPLUS_BYTES
    refused = {
        413: [lambda: body_by_length(over, over), lambda: body_as_one_chunk(over, over),
              lambda: body_in_chunks(64 * 1024, over)],
        431: [lambda: unfinished_head(SURPLUS_BYTES), lambda: endless_trailers(SURPLUS_BYTES),
              lambda: endless_extension(SURPLUS_BYTES), lambda: endless_size(SURPLUS_BYTES)],
        400: [lambda: iter([b"no request\r\n\r\n" + b"x" * SURPLUS_BYTES])],
    }
    with Fleet() as fleet:
        for status, kinds in refused.items():
            for number, kind in enumerate(kinds):
                found = []
                for _ in range(5):  # few at a time, so that none is refused for want of memory
                    clients = [Client(fleet.ports["callers"], kind()) for _ in range(4)]
                    with Crowd(fleet.process, clients, STOP_MB) as crowd:
                        crowd.wait_for_answers()
                    found += [client.status() for client in clients]
                assert found == [status] * len(found), (status, number, found)


# Guards against answers that stay in memory for ever since their clients don't read them.
def answers_that_are_not_read():
    with Fleet(idle_ms=2000) as fleet:
        clients = [Client(fleet.ports["callers"], large_answer(), reads=False) for _ in range(60)]
        with Crowd(fleet.process, clients, STOP_MB) as crowd:
            check(fleet, crowd, "unread")
            wait_for("an answer beside the clients", fleet.answers)
            wait_for("closed connections", lambda: not fleet.process.unread_bytes())
            check(fleet, crowd, "after they were closed")


CASES = {
    "refusals_are_read": refusals_are_read,
    "large_requests_in_calm": large_requests_in_calm,
    "trailers": endless(endless_trailers),
    "one_trailer": endless(endless_trailer),
    "chunk_extension": endless(endless_extension),
    "chunk_size": endless(endless_size),
    "chunk_extension_at_addresses": endless(endless_extension, "addresses"),
    "chunk_extension_at_readiness": endless(endless_extension, "readiness"),
    "chunk_extension_at_metrics": endless(endless_extension, "metrics"),
    "chunk_extension_at_agent": endless(endless_extension, "metrics", AgentFleet),
    "chunk_extension_at_entry": endless(endless_extension, "callers", EntryFleet),
    "chunk_extension_at_operators": endless(endless_extension, "operators", EntryFleet),
    "trailers_at_addresses": endless(endless_trailers, "addresses"),
    "short_bodies_by_length": short_bodies(short_bodies_by_length),
    "short_bodies_in_one_chunk": short_bodies(lambda: body_as_one_chunk(BODY_BYTES, SHORT_BYTES)),
    "short_bodies_in_large_chunks": short_bodies(lambda: body_in_chunks(64 * 1024, SHORT_BYTES)),
    "short_bodies_in_small_chunks": lambda: play(
        crowd_of(50, lambda: body_in_chunks(8, SHORT_BYTES))),
    "short_bodies_at_addresses": short_bodies(short_bodies_by_length, "addresses"),
    "short_bodies_at_readiness": short_bodies(short_bodies_by_length, "readiness"),
    "short_bodies_at_metrics": short_bodies(short_bodies_by_length, "metrics"),
    "short_bodies_at_agent": short_bodies(short_bodies_by_length, "metrics", AgentFleet),
    "short_bodies_at_entry": short_bodies(short_bodies_by_length, "callers", EntryFleet),
    "short_bodies_at_operators": short_bodies(short_bodies_by_length, "operators", EntryFleet),
    "bodies_over_the_limit_in_chunks": lambda: play(
        crowd_of(80, lambda: body_in_chunks(64 * 1024, 2 * BODY_BYTES)), rounds=ROUNDS),
    "bodies_over_the_limit_by_length": lambda: play(
        crowd_of(80, lambda: body_by_length(10 ** 12, 2 * BODY_BYTES)), rounds=ROUNDS),
    "whole_requests": lambda: play(
        crowd_of(80, lambda: whole_request(BODY_BYTES, "/held/a")), rounds=ROUNDS),
    "pipelined_requests": lambda: play(crowd_of(60, lambda: pipelined(BODY_BYTES, 3 * BODY_BYTES))),
    "pipelined_behind_small_requests": lambda: play(
        crowd_of(300, lambda: pipelined(BODY_BYTES // 16, BODY_BYTES))),
    "answers_that_are_not_read": answers_that_are_not_read,
    "unfinished_heads": lambda: play(
        crowd_of(6000, lambda: unfinished_head(HEADER_BYTES - 512)), descriptors=BOX_DESCRIPTORS),
    "idle_connections": lambda: play(crowd_of(700, nothing), descriptors=600),
    "idle_connections_at_addresses": lambda: play(
        crowd_of(700, nothing, "addresses"), descriptors=600),
}


def main():
    if "--list" in sys.argv:
        print("\n".join(CASES))
        return 0
    # The largest crowd needs more descriptors than many systems allow at first.
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    is_measuring = "--measure" in sys.argv
    names = [name for name in sys.argv[1:] if not name.startswith("-")] or list(CASES)
    failed = 0
    for name in names:
        MEASURED.clear()
        KEPT_MB.clear()
        try:
            CASES[name]()
            outcome = "held"
        except AssertionError as error:
            failed += 1
            outcome = "FAILED: %s" % error
        print("%-34s %s" % (name, outcome), flush=True)
        for mb, seconds, descriptors, is_open, clients, resets in MEASURED:
            if is_measuring:
                print("  | %d clients | %.0f MB | %d descriptors | %.1f s | %d open, %d reset |"
                      % (clients, mb, descriptors, seconds, is_open, resets), flush=True)
        if is_measuring and KEPT_MB:
            print("  kept afterwards: %s MB" % ", ".join("%.0f" % mb for mb in KEPT_MB), flush=True)
    print("%d passed, %d failed" % (len(names) - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
