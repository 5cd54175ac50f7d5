/*
 * test_notices.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#define BOOST_TEST_MODULE notices
#include <boost/test/unit_test.hpp>

#include "gatewayfixture.h"
#include "streamtext.h"

#include <deque>

using namespace Loom;

namespace {

constexpr int sCalls = 40;
constexpr Milliseconds sRest{2'000};
const std::string sRestText = "2.0";
// Of a replica that asked for rest: what may still come within it, and what is not judged.
constexpr int sAllowedInRest = 2;
constexpr Milliseconds sNotJudged{500};
// A replica that failed or refused is avoided for less.
constexpr Milliseconds sAfterPauses{300};

using Answer = ScriptedReplica::Answer;

std::string headOf(int status, const std::string &head, const std::string &fields)
{
    return "HTTP/1.1 " + std::to_string(status)
        + " X\r\nLoomjunction-Request-Id: " + requestIdOf(head) + "\r\n" + fields;
}

const std::string sSigned = "Loomjunction-Response-Signature: s\r\n";
const std::string sNotExecuted = "Loomjunction-Not-Executed: 1\r\n";
const std::string sLeaves = "Server-Leaving: 1\r\n";
const std::string sAsksForRest = "Retry-After: " + sRestText + "\r\n";
const std::string sNoBody = "Content-Length: 0\r\n\r\n";

Answer good(const std::string &head)
{
    if (head.starts_with("POST /safe/")) {
        return {headOf(200, head, sSigned + sNoBody)};
    }
    return {streamHead(requestIdOf(head)) + chunk(event(1)) + sLastChunk};
}

/** How a replica says something of itself. */
struct Saying
{
    std::string name;
    std::string path; ///< that callers ask for
    std::function<Answer(const std::string &head)> answer;
};

Saying wholeAnswer(int status, const std::string &fields)
{
    return {std::to_string(status) + " " + fields, "/safe/a", [=](const std::string &head) {
                return Answer{headOf(status, head, fields + sNoBody)};
            }};
}

Saying streamAnswer(const std::string &path, const std::string &fields)
{
    return {"stream on " + path, path, [=](const std::string &head) {
                const std::string begin = headOf(200, head,
                                                 fields + sSigned
                                                     + "Content-Type: text/event-stream\r\n"
                                                       "Transfer-Encoding: chunked\r\n\r\n");
                return Answer{begin + chunk(event(1)) + sLastChunk};
            }};
}

std::string serviceOf(const Saying &saying)
{
    return saying.path.starts_with("/model/") ? "engine" : "plain";
}

/** Two replicas; one of them says something of itself in its answers while it is told to. */
class SayingLab : public GatewayFixture
{
public:
    explicit SayingLab(const Saying &saying)
        : mSaying(saying)
    {
        writeConfig(1);
        addReplica("i-1", serviceOf(saying), [this](const std::string &head) {
            arrivals.push_back(now());
            return isSaying ? mSaying.answer(head) : good(head);
        });
        other = &addReplica("i-2", serviceOf(saying), good);
    }

    awaitable<void> untilReady()
    {
        co_await waitFor(
            [this] { return front().isReady() && replicas().replicas().all().size() == 2; });
    }

    awaitable<int> ask()
    {
        const std::string id = "id" + std::to_string(++mAsked);
        const auto response = co_await call("POST", mSaying.path, id);
        BOOST_REQUIRE(response.has_value());
        co_return response->status;
    }

    awaitable<void> untilSaid()
    {
        while (arrivals.empty()) {
            co_await ask();
        }
    }

    bool isSaying = true;
    std::deque<Instant> arrivals; ///< at the replica that says something
    ScriptedReplica *other = nullptr;

private:
    const Saying mSaying;
    int mAsked = 0;
};

std::vector<Saying> leavings()
{
    return {wholeAnswer(200, sSigned + sLeaves),
            wholeAnswer(500, sSigned + sLeaves),
            wholeAnswer(504, sLeaves),
            wholeAnswer(503, sNotExecuted + sLeaves),
            wholeAnswer(421, sNotExecuted + sLeaves),
            streamAnswer("/stream/a", sLeaves),
            streamAnswer("/model/a", sLeaves)};
}

} // namespace

BOOST_AUTO_TEST_CASE(a_replica_that_said_it_leaves_gets_requests_while_the_store_is_away)
{
    for (const Saying &saying : leavings()) {
        SayingLab lab(saying);
        lab.run([&]() -> awaitable<void> {
            co_await lab.untilReady();
            lab.store.isUnreachable = true;
            co_await lab.untilSaid();
            co_await sleepFor(sAfterPauses);
            for (int call = 0; call < sCalls; ++call) {
                BOOST_TEST(co_await lab.ask() == 200);
            }
            BOOST_TEST(lab.arrivals.size() == 1U, saying.name << ": " << lab.arrivals.size());
        });
    }
}

BOOST_AUTO_TEST_CASE(a_replica_that_said_it_leaves_comes_back_by_a_record_of_the_same_life)
{
    SayingLab lab(wholeAnswer(200, sSigned + sLeaves));
    lab.run([&]() -> awaitable<void> {
        co_await lab.untilReady();
        co_await lab.untilSaid();
        const std::string address = lab.replicas().replicas().find("i-1")->record.address;
        const std::string record = R"({"service":"plain","address":")" + address
            + R"(","zone":"z1","slots":4,"state":"ready","models":[]})";
        lab.store.write(Feed::Replicas, "i-1", std::nullopt);
        co_await lab.waitFor([&] {
            const Replica *known = lab.replicas().replicas().find("i-1");
            return known == nullptr || known->removedAt != Instant();
        });
        // Long enough for it to be swept away.
        co_await lab.waitFor([&] { return lab.replicas().replicas().find("i-1") == nullptr; });
        lab.store.write(Feed::Replicas, "i-1", record);
        co_await lab.waitFor([&] { return lab.replicas().replicas().find("i-1") != nullptr; });
        for (int call = 0; call < sCalls; ++call) {
            BOOST_TEST(co_await lab.ask() == 200);
        }
        BOOST_TEST(lab.arrivals.size() == 1U);
    });
}

// The notice comes between the choice and the connection that the request waits for.
BOOST_AUTO_TEST_CASE(a_request_that_was_chosen_before_reaches_a_replica_that_leaves_or_rests)
{
    const ReplicaNotice leaves{true, std::nullopt, {}};
    const ReplicaNotice rests{false, Microseconds(sRest), {}};
    for (const ReplicaNotice &notice : {leaves, rests}) {
        GatewayFixture lab;
        lab.writeConfig(1);
        ScriptedReplica &replica = lab.addReplica("i-1", "plain", good);
        lab.run([&]() -> awaitable<void> {
            co_await lab.waitFor([&] {
                return lab.front().isReady() && lab.replicas().replicas().all().size() == 1;
            });
            bool isOver = false;
            asio::co_spawn(
                lab.context,
                [&]() -> awaitable<void> {
                    const auto response = co_await lab.call("POST", "/safe/a", "id1");
                    BOOST_TEST((response.has_value() && response->status == 503));
                    isOver = true;
                },
                asio::detached);
            while (lab.replicas().replicas().find("i-1")->inFlight == 0) {
                co_await asio::post(lab.context, asio::use_awaitable);
            }
            lab.replicas().noteNotice({"i-1"}, notice);
            co_await lab.waitFor([&] { return isOver; });
            BOOST_TEST(replica.requests() == 0);
        });
    }
}

BOOST_AUTO_TEST_CASE(a_replica_that_asked_for_rest_gets_requests_in_that_time)
{
    for (const std::string &fields : {sNotExecuted + sAsksForRest, sAsksForRest}) {
        SayingLab lab(wholeAnswer(503, fields));
        lab.run([&]() -> awaitable<void> {
            co_await lab.untilReady();
            co_await lab.untilSaid();
            const Instant asked = lab.arrivals.front();
            lab.isSaying = false;
            while (now() < asked + sRest) {
                BOOST_TEST(co_await lab.ask() == 200);
            }
            const auto inRest = std::ranges::count_if(lab.arrivals, [&](Instant arrival) {
                return arrival >= asked + sNotJudged && arrival < asked + sRest;
            });
            BOOST_TEST(inRest <= sAllowedInRest);
            // Afterwards it is used as before.
            const std::size_t before = lab.arrivals.size();
            while (lab.arrivals.size() < before + 3) {
                BOOST_TEST(co_await lab.ask() == 200);
            }
        });
    }
}

BOOST_AUTO_TEST_CASE(callers_are_told_to_come_back_while_all_replicas_rest)
{
    GatewayFixture lab;
    lab.writeConfig(1);
    const auto refuses = [](const std::string &head) {
        return Answer{headOf(503, head, sNotExecuted + sAsksForRest + sNoBody)};
    };
    ScriptedReplica &first = lab.addReplica("i-1", "plain", refuses);
    ScriptedReplica &second = lab.addReplica("i-2", "plain", refuses);
    lab.run([&]() -> awaitable<void> {
        co_await lab.waitFor(
            [&] { return lab.front().isReady() && lab.replicas().replicas().all().size() == 2; });
        const auto begun = now();
        for (int call = 0; call < sCalls && now() < begun + sNotJudged; ++call) {
            const auto response = co_await lab.call("POST", "/safe/a", "id" + std::to_string(call));
            BOOST_REQUIRE(response.has_value());
            BOOST_TEST(response->status == 503);
            // A third of their time is what callers wait at most.
            BOOST_TEST(std::stod(std::string(response->header("Retry-After"))) >= 1.0);
        }
        BOOST_TEST(first.requests() + second.requests() == 2);
    });
}

BOOST_AUTO_TEST_CASE(callers_are_told_what_a_replica_says_to_its_gateway)
{
    for (const std::string &fields :
         {sSigned + sLeaves, sSigned + "Server-Limit: 1000000\r\n" + sLeaves}) {
        SayingLab lab(wholeAnswer(200, fields));
        lab.run([&]() -> awaitable<void> {
            co_await lab.untilReady();
            while (lab.arrivals.empty()) {
                const auto response = co_await lab.call("POST", "/safe/a", "id");
                BOOST_REQUIRE(response.has_value());
                BOOST_TEST(response->header("Server-Leaving").empty());
                BOOST_TEST(response->header("Server-Limit").empty());
            }
        });
    }
}

BOOST_AUTO_TEST_CASE(the_end_of_a_replica_that_said_it_leaves_counts_as_a_crash)
{
    GatewayFixture lab;
    lab.writeConfig(1);
    ScriptedReplica *replica = nullptr;
    replica = &lab.addReplica("i-1", "plain", [&](const std::string &head) {
        replica->end();
        Answer answer = streamAnswer("", sLeaves).answer(head);
        answer.bytes.resize(answer.bytes.size() - sLastChunk.size());
        answer.closes = true;
        return answer;
    });
    lab.run([&]() -> awaitable<void> {
        co_await lab.waitFor(
            [&] { return lab.front().isReady() && lab.replicas().replicas().all().size() == 1; });
        co_await lab.call("POST", "/stream/a", "id1");
        BOOST_TEST(lab.metrics().counter("replica_crashes") == 0U);
    });
}
