/*
 * test_wholeanswers.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#define BOOST_TEST_MODULE wholeanswers
#include <boost/test/unit_test.hpp>

#include "gatewayfixture.h"
#include "streamtext.h"

#include <thread>

using namespace Loom;

// A gateway cut off streams whose replicas were only slow. After 1.2 s of silence it closed the
// connection before it knew whether another replica could continue; the second send had been used
// already or was refused, or the retry budget was spent. A request without a first event got
// 502 {"error":"silent"} after 1.2 s although its event was due 0.3 s later. After a stall of
// 2.5 s, 23 of 150 streams were cut although their events were waiting in the sockets: the event
// loop reads 128 sockets per iteration and then runs its timers.

namespace {

// Longer than the silence timeout on the routes used here.
constexpr Milliseconds sPause{1'500};
const std::string sPath = "/quick/a";

using Script = ScriptedReplica::Script;
using Answer = ScriptedReplica::Answer;

std::function<bool()> duringPause()
{
    const Instant until = now() + sPause;
    return [until] { return now() < until; };
}

/** Sends the event @p from, pauses for sPause, and ends the stream with the next event. */
Answer pausesAfterFirstEvent(const std::string &head, int from = 1)
{
    return {streamHead(requestIdOf(head)) + chunk(event(from)), false, duringPause(),
            chunk(event(from + 1)) + sLastChunk};
}

Answer pausesBeforeFirstEvent(const std::string &head)
{
    return {"", false, duringPause(),
            streamHead(requestIdOf(head)) + chunk(event(1)) + chunk(event(2)) + sLastChunk};
}

Answer stopsAfterFirstEvent(const std::string &head)
{
    return {streamHead(requestIdOf(head)) + chunk(event(1)), false};
}

Answer neverAnswers(const std::string &)
{
    return {"", false};
}

Answer closesAfterFirstEvent(const std::string &head)
{
    return {streamHead(requestIdOf(head)) + chunk(event(1)), true};
}

Answer refuses(const std::string &head)
{
    return {"HTTP/1.1 503 X\r\nLoomjunction-Request-Id: " + requestIdOf(head)
                + "\r\nLoomjunction-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            false};
}

/** Resumes the stream after the first event. */
Answer resumesAfterFirstEvent(const std::string &head)
{
    BOOST_TEST(head.find("Last-Event-Id: 1") != std::string::npos);
    return {streamHead(requestIdOf(head)) + chunk(event(2)) + sLastChunk, false};
}

/**
 * Two replicas. The first request to either of them is handled by one script, later ones by the
 * other script.
 */
class TwoReplicaFixture : public GatewayFixture
{
public:
    TwoReplicaFixture(Script onFirst, Script onSecond)
    {
        writeConfig(1);
        const Script script = [this, onFirst, onSecond](const std::string &head) {
            return ++sends == 1 ? onFirst(head) : onSecond(head);
        };
        for (const char *id : {"i-1", "i-2"}) {
            replicas.push_back(&addReplica(id, "plain", script));
        }
    }

    awaitable<void> waitUntilReady()
    {
        co_await waitFor([this] {
            return front().isReady() && GatewayFixture::replicas().replicas().all().size() == 2;
        });
    }

    int closed() const { return replicas[0]->closed() + replicas[1]->closed(); }

    int sends = 0;
    std::vector<ScriptedReplica *> replicas;
};

void checkWholeResponse(const tl::expected<HttpResponse, HttpError> &response,
                        const std::string &body)
{
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->status == 200);
    BOOST_TEST(response->body == body);
}

void expectWholeResponse(TwoReplicaFixture &fixture, const std::string &path,
                         const std::string &body)
{
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        const auto response = co_await fixture.call("POST", path, "id1");
        checkWholeResponse(response, body);
    });
}

const std::string sTwoEventBody = event(1) + event(2);

} // namespace

BOOST_AUTO_TEST_CASE(a_paused_stream_completes_without_another_replica)
{
    GatewayFixture fixture;
    fixture.writeConfig(1);
    fixture.addReplica("i-1", "plain",
                       [](const std::string &head) { return pausesAfterFirstEvent(head); });
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitFor([&] {
            return fixture.front().isReady() && fixture.replicas().replicas().all().size() == 1;
        });
        const auto response = co_await fixture.call("POST", sPath, "id1");
        checkWholeResponse(response, sTwoEventBody);
    });
}

BOOST_AUTO_TEST_CASE(a_paused_stream_completes_when_the_other_replica_refuses_it)
{
    TwoReplicaFixture fixture([](const std::string &head) { return pausesAfterFirstEvent(head); },
                              refuses);
    expectWholeResponse(fixture, sPath, sTwoEventBody);
    BOOST_TEST(fixture.sends == 2);
}

BOOST_AUTO_TEST_CASE(a_paused_stream_completes_when_the_retry_budget_is_spent)
{
    TwoReplicaFixture fixture([](const std::string &head) { return pausesAfterFirstEvent(head); },
                              resumesAfterFirstEvent);
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        MemberBounds bounds;
        bounds.retries = {0, 0, Milliseconds(10'000)};
        fixture.GatewayFixture::replicas().setBounds(bounds);
        const auto response = co_await fixture.call("POST", sPath, "id1");
        checkWholeResponse(response, sTwoEventBody);
        BOOST_TEST(fixture.sends == 1);
    });
}

BOOST_AUTO_TEST_CASE(a_paused_resumed_stream_completes)
{
    TwoReplicaFixture fixture(closesAfterFirstEvent, [](const std::string &head) {
        return pausesAfterFirstEvent(head, 2);
    });
    expectWholeResponse(fixture, sPath, event(1) + event(2) + event(3));
    BOOST_TEST(fixture.sends == 2);
}

BOOST_AUTO_TEST_CASE(a_stream_that_starts_late_completes_when_the_other_replica_refuses_it)
{
    TwoReplicaFixture fixture(pausesBeforeFirstEvent, refuses);
    expectWholeResponse(fixture, sPath, sTwoEventBody);
}

BOOST_AUTO_TEST_CASE(a_non_resumable_stream_completes_after_a_pause)
{
    TwoReplicaFixture fixture([](const std::string &head) { return pausesAfterFirstEvent(head); },
                              resumesAfterFirstEvent);
    expectWholeResponse(fixture, "/quickonce/a", sTwoEventBody);
    BOOST_TEST(fixture.sends == 1);
}

BOOST_AUTO_TEST_CASE(a_stream_resumes_at_another_replica_before_the_silent_one_is_abandoned)
{
    int closedBefore = -1;
    TwoReplicaFixture *self = nullptr;
    TwoReplicaFixture fixture(stopsAfterFirstEvent, [&](const std::string &head) {
        closedBefore = self->closed();
        return resumesAfterFirstEvent(head);
    });
    self = &fixture;
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        const auto response = co_await fixture.call("POST", sPath, "id1");
        checkWholeResponse(response, sTwoEventBody);
        BOOST_TEST(closedBefore == 0);
        co_await fixture.waitFor([&] { return fixture.closed() == 1; });
    });
}

BOOST_AUTO_TEST_CASE(the_first_of_two_replicas_to_send_an_event_provides_the_response)
{
    TwoReplicaFixture fixture([](const std::string &head) { return pausesAfterFirstEvent(head); },
                              neverAnswers);
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        const auto response = co_await fixture.call("POST", sPath, "id1");
        checkWholeResponse(response, sTwoEventBody);
        BOOST_TEST(fixture.sends == 2);
        // The connection to the other replica is closed.
        co_await fixture.waitFor([&] { return fixture.closed() == 1; });
        co_await fixture.waitFor([&] { return fixture.front().inFlight() == 0; });
    });
}

BOOST_AUTO_TEST_CASE(a_stream_resumes_when_the_silent_replica_closes_its_connection)
{
    TwoReplicaFixture fixture(
        [](const std::string &head) -> Answer {
            return {streamHead(requestIdOf(head)) + chunk(event(1)), true, duringPause()};
        },
        [](const std::string &head) -> Answer {
            const Instant until = now() + 2 * sPause;
            return {"", false, [until] { return now() < until; },
                    resumesAfterFirstEvent(head).bytes};
        });
    expectWholeResponse(fixture, sPath, sTwoEventBody);
    BOOST_TEST(fixture.sends == 2);
}

BOOST_AUTO_TEST_CASE(a_caller_disconnect_cancels_both_attempts)
{
    TwoReplicaFixture fixture(stopsAfterFirstEvent, neverAnswers);
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        auto caller
            = co_await connectWithin(fixture.front().localEndpoint(), std::chrono::seconds(5));
        const std::string request = "POST " + sPath
            + " HTTP/1.1\r\nHost: h\r\nLoomjunction-Request-Id: id1\r\n"
              "Authorization: Token k\r\nContent-Length: 0\r\n\r\n";
        co_await asio::async_write(*caller, asio::buffer(request), sAsValue);
        co_await fixture.waitFor([&] { return fixture.sends == 2; });
        caller->close();
        co_await fixture.waitFor([&] { return fixture.closed() == 2; });
        co_await fixture.waitFor([&] { return fixture.front().inFlight() == 0; });
    });
}

BOOST_AUTO_TEST_CASE(the_deadline_cancels_both_attempts)
{
    TwoReplicaFixture fixture(stopsAfterFirstEvent, neverAnswers);
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        const auto response = co_await fixture.call("POST", sPath, "id1", "k", "2500");
        BOOST_TEST(!response.has_value());
        BOOST_TEST(fixture.sends == 2);
        co_await fixture.waitFor([&] { return fixture.closed() == 2; });
    });
}

// Requests at stalled replicas waited for a first event until their callers disconnected, 2.4 s
// after arrival: 44 of 53 calls that ended that way within two seconds had no event (outcome
// "caller left", events 0, tookMs 2,400). A stalled replica cannot be told of the disconnect. A
// caller that gets an error in time may retry.
BOOST_AUTO_TEST_CASE(a_request_without_a_first_event_is_answered_before_its_caller_gives_up)
{
    for (const std::string &path : {sPath, std::string("/quickonce/a")}) {
        TwoReplicaFixture fixture(neverAnswers, refuses);
        fixture.run([&]() -> awaitable<void> {
            co_await fixture.waitUntilReady();
            const auto response = co_await fixture.call("POST", path, "id1");
            BOOST_REQUIRE(response.has_value());
            BOOST_TEST(response->status == 502);
            co_await fixture.waitFor([&] { return fixture.closed() == 1; });
        });
    }
}

namespace {

/** A replica with its own thread and event loop, which keeps running while the gateway stalls. */
class ThreadedReplica
{
public:
    explicit ThreadedReplica(Script script)
        : mReplica(mContext, std::move(script))
        , mThread([this] { mContext.run(); })
    {
    }

    ~ThreadedReplica()
    {
        mContext.stop();
        mThread.join();
    }

    std::string record() const
    {
        return R"({"service":"plain","address":")" + mReplica.address()
            + R"(","zone":"z1","slots":100,"state":"ready","models":[]})";
    }

private:
    asio::io_context mContext{1};
    ScriptedReplica mReplica;
    std::thread mThread;
};

} // namespace

// This needs many streams: an event loop iteration reads only some sockets before it runs timers.
BOOST_AUTO_TEST_CASE(an_event_loop_stall_does_not_count_as_replica_silence)
{
    constexpr int streams = 150;
    GatewayFixture fixture;
    fixture.writeConfig(1);
    std::atomic<int> started{0};
    const Script script = [&](const std::string &head) {
        ++started;
        const Instant until = now() + Milliseconds(600);
        return Answer{streamHead(requestIdOf(head)) + chunk(event(1)), false,
                      [until] { return now() < until; }, chunk(event(2)) + sLastChunk};
    };
    ThreadedReplica first(script);
    ThreadedReplica second(script);
    fixture.store.write(Feed::Replicas, "i-1", first.record());
    fixture.store.write(Feed::Replicas, "i-2", second.record());
    int completed = 0;
    int ended = 0;
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitFor([&] {
            return fixture.front().isReady() && fixture.replicas().replicas().all().size() == 2;
        });
        for (int index = 0; index < streams; ++index) {
            asio::co_spawn(
                fixture.context,
                [&fixture, &completed, &ended, index]() -> awaitable<void> {
                    const std::string id = "id" + std::to_string(index);
                    const auto response = co_await fixture.call("POST", sPath, id);
                    completed
                        += response && response->status == 200 && response->body == sTwoEventBody;
                    ++ended;
                },
                asio::detached);
        }
        co_await fixture.waitFor([&] { return started == streams; });
        std::this_thread::sleep_for(std::chrono::milliseconds(2'500));
        co_await fixture.waitFor([&] { return ended == streams; });
        BOOST_TEST(completed == streams);
        BOOST_TEST(started == streams); // none was retried
    });
}

// A caller got its first event twice, once from each of two replicas that started at the same
// time: the events of the hedge arrived while the gateway was still writing the response head of
// the first attempt to the caller.
BOOST_AUTO_TEST_CASE(only_one_of_two_replicas_that_start_at_once_provides_the_response)
{
    constexpr int streams = 6; // two replicas with four slots each can take every stream twice
    GatewayFixture fixture;
    fixture.writeConfig(1);
    std::atomic<bool> isReleased{false};
    std::atomic<int> sends{0};
    const Script script = [&](const std::string &head) {
        ++sends;
        return Answer{"", false, [&] { return !isReleased; },
                      streamHead(requestIdOf(head)) + chunk(event(1)) + chunk(event(2))
                          + sLastChunk};
    };
    ThreadedReplica first(script);
    ThreadedReplica second(script);
    fixture.store.write(Feed::Replicas, "i-1", first.record());
    fixture.store.write(Feed::Replicas, "i-2", second.record());
    int completed = 0;
    int ended = 0;
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitFor([&] {
            return fixture.front().isReady() && fixture.replicas().replicas().all().size() == 2;
        });
        for (int index = 0; index < streams; ++index) {
            asio::co_spawn(
                fixture.context,
                [&fixture, &completed, &ended, index]() -> awaitable<void> {
                    const std::string id = "id" + std::to_string(index);
                    const auto response = co_await fixture.call("POST", sPath, id);
                    completed
                        += response && response->status == 200 && response->body == sTwoEventBody;
                    ++ended;
                },
                asio::detached);
        }
        co_await fixture.waitFor([&] { return sends == 2 * streams; });
        isReleased = true;
        // Both responses to each request have arrived when the gateway's event loop runs again.
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        co_await fixture.waitFor([&] { return ended == streams; });
        BOOST_TEST(completed == streams);
    });
}

BOOST_AUTO_TEST_CASE(configuration_changes_do_not_interrupt_a_stream)
{
    GatewayFixture fixture;
    fixture.writeConfig(1);
    bool isDone = false;
    fixture.addReplica("i-1", "plain", [&](const std::string &head) {
        return Answer{streamHead(requestIdOf(head)) + chunk(event(1)), false,
                      [&] { return !isDone; }, chunk(event(2)) + sLastChunk};
    });
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitFor([&] {
            return fixture.front().isReady() && fixture.replicas().replicas().all().size() == 1;
        });
        asio::co_spawn(
            fixture.context,
            [&]() -> awaitable<void> {
                co_await fixture.waitFor([&] { return fixture.front().inFlight() == 1; });
                constexpr std::uint64_t last = 60;
                for (std::uint64_t version = 2; version <= last; ++version) {
                    // Every second configuration has no routes, services or accounts.
                    if (version % 2 == 0) {
                        fixture.writeConfig(version);
                    } else {
                        fixture.store.write(Feed::Operators, "config",
                                            R"({"version":)" + std::to_string(version)
                                                + R"(,"routes":[],"services":[]})");
                    }
                    co_await fixture.waitFor(
                        [&] { return fixture.config().table()->version() == version; });
                }
                isDone = true;
            },
            asio::detached);
        const auto response = co_await fixture.call("POST", "/stream/a", "id1");
        checkWholeResponse(response, sTwoEventBody);
    });
}

// An exception in a request handler went unreported: the connection of the caller was closed
// without a response, and nothing was logged.
BOOST_AUTO_TEST_CASE(a_request_whose_handler_throws_is_answered_and_reported)
{
    asio::io_context context{1};
    HttpServer server(context.get_executor(), [](HttpExchange &) -> awaitable<void> {
        throw std::runtime_error("broken");
        co_return;
    });
    std::vector<std::string> lost;
    server.setLossHandler([&](const HttpLossReport &report) {
        BOOST_TEST((report.loss == HttpLoss::Thrown));
        lost.emplace_back(report.detail);
    });
    BOOST_REQUIRE(server.listen({asio::ip::address_v4::loopback(), 0}).has_value());
    HttpClient client(context.get_executor());
    asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
            HttpCall call;
            call.endpoint = server.localEndpoint();
            call.method = "GET";
            call.target = "/";
            const auto response = co_await client.send(std::move(call));
            BOOST_TEST((response && response->status == 500));
            BOOST_TEST((lost == std::vector<std::string>{"broken"}));
            context.stop();
        },
        asio::detached);
    context.run();
}
