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

constexpr int sCallCount = 40;
constexpr Milliseconds sRestTime{2'000};
const std::string sRestSeconds = "2.0";
// Requests that may arrive during a rest, leaving out the time right after it was requested.
constexpr int sMaxArrivalsInRest = 2;
constexpr Milliseconds sSettlingTime{500};
// Longer than a replica is avoided after a failure or a refusal.
constexpr Milliseconds sBackoffExpiry{300};

using Answer = ScriptedReplica::Answer;

std::string headOf(int status, const std::string &head, const std::string &fields)
{
    return "HTTP/1.1 " + std::to_string(status)
        + " X\r\nLoomjunction-Request-Id: " + requestIdOf(head) + "\r\n" + fields;
}

const std::string sSignatureField = "Loomjunction-Response-Signature: s\r\n";
const std::string sNotExecutedField = "Loomjunction-Not-Executed: 1\r\n";
const std::string sLeavingField = "Server-Leaving: 1\r\n";
const std::string sRestField = "Retry-After: " + sRestSeconds + "\r\n";
const std::string sEmptyBody = "Content-Length: 0\r\n\r\n";

Answer successAnswer(const std::string &head)
{
    if (head.starts_with("POST /safe/")) {
        return {headOf(200, head, sSignatureField + sEmptyBody)};
    }
    return {streamHead(requestIdOf(head)) + chunk(event(1)) + sLastChunk};
}

/** An answer that carries a notice, and the path of the requests that get it. */
struct NoticeCase
{
    std::string name;
    std::string path; ///< of the requests
    std::function<Answer(const std::string &head)> answer;
};

NoticeCase fixedLengthNotice(int status, const std::string &fields)
{
    return {std::to_string(status) + " " + fields, "/safe/a", [=](const std::string &head) {
                return Answer{headOf(status, head, fields + sEmptyBody)};
            }};
}

NoticeCase streamedNotice(const std::string &path, const std::string &fields)
{
    return {"stream on " + path, path, [=](const std::string &head) {
                const std::string begin = headOf(200, head,
                                                 fields + sSignatureField
                                                     + "Content-Type: text/event-stream\r\n"
                                                       "Transfer-Encoding: chunked\r\n\r\n");
                return Answer{begin + chunk(event(1)) + sLastChunk};
            }};
}

std::string serviceOf(const NoticeCase &noticeCase)
{
    return noticeCase.path.starts_with("/model/") ? "engine" : "plain";
}

/** Two replicas; the first one adds a notice to its answers while isSendingNotice is set. */
class NoticeFixture : public GatewayFixture
{
public:
    explicit NoticeFixture(const NoticeCase &noticeCase)
        : mNoticeCase(noticeCase)
    {
        writeConfig(1);
        addReplica("i-1", serviceOf(noticeCase), [this](const std::string &head) {
            arrivals.push_back(now());
            return isSendingNotice ? mNoticeCase.answer(head) : successAnswer(head);
        });
        otherReplica = &addReplica("i-2", serviceOf(noticeCase), successAnswer);
    }

    awaitable<void> waitUntilReady()
    {
        co_await waitFor(
            [this] { return front().isReady() && replicas().replicas().all().size() == 2; });
    }

    awaitable<int> sendRequest()
    {
        const std::string id = "id" + std::to_string(++mRequestCount);
        const auto response = co_await call("POST", mNoticeCase.path, id);
        BOOST_REQUIRE(response.has_value());
        co_return response->status;
    }

    awaitable<void> sendUntilNotice()
    {
        while (arrivals.empty()) {
            co_await sendRequest();
        }
    }

    bool isSendingNotice = true;
    std::deque<Instant> arrivals; ///< of requests at the replica with the notice
    ScriptedReplica *otherReplica = nullptr;

private:
    const NoticeCase mNoticeCase;
    int mRequestCount = 0;
};

std::vector<NoticeCase> leavingNotices()
{
    return {fixedLengthNotice(200, sSignatureField + sLeavingField),
            fixedLengthNotice(500, sSignatureField + sLeavingField),
            fixedLengthNotice(504, sLeavingField),
            fixedLengthNotice(503, sNotExecutedField + sLeavingField),
            fixedLengthNotice(421, sNotExecutedField + sLeavingField),
            streamedNotice("/stream/a", sLeavingField),
            streamedNotice("/model/a", sLeavingField)};
}

} // namespace

BOOST_AUTO_TEST_CASE(leaving_replica_gets_no_requests_while_store_is_unreachable)
{
    for (const NoticeCase &noticeCase : leavingNotices()) {
        NoticeFixture fixture(noticeCase);
        fixture.run([&]() -> awaitable<void> {
            co_await fixture.waitUntilReady();
            fixture.store.isUnreachable = true;
            co_await fixture.sendUntilNotice();
            co_await sleepFor(sBackoffExpiry);
            for (int call = 0; call < sCallCount; ++call) {
                BOOST_TEST(co_await fixture.sendRequest() == 200);
            }
            BOOST_TEST(fixture.arrivals.size() == 1U,
                       noticeCase.name << ": " << fixture.arrivals.size());
        });
    }
}

BOOST_AUTO_TEST_CASE(record_of_same_incarnation_does_not_readmit_leaving_replica)
{
    NoticeFixture fixture(fixedLengthNotice(200, sSignatureField + sLeavingField));
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        co_await fixture.sendUntilNotice();
        const std::string address = fixture.replicas().replicas().find("i-1")->record.address;
        const std::string record = R"({"service":"plain","address":")" + address
            + R"(","zone":"z1","slots":4,"state":"ready","models":[]})";
        fixture.store.write(Feed::Replicas, "i-1", std::nullopt);
        co_await fixture.waitFor([&] {
            const Replica *known = fixture.replicas().replicas().find("i-1");
            return known == nullptr || known->removedAt != Instant();
        });
        // Waits until the sweep has removed the replica.
        co_await fixture.waitFor(
            [&] { return fixture.replicas().replicas().find("i-1") == nullptr; });
        fixture.store.write(Feed::Replicas, "i-1", record);
        co_await fixture.waitFor(
            [&] { return fixture.replicas().replicas().find("i-1") != nullptr; });
        for (int call = 0; call < sCallCount; ++call) {
            BOOST_TEST(co_await fixture.sendRequest() == 200);
        }
        BOOST_TEST(fixture.arrivals.size() == 1U);
    });
}

// The notice arrives after the replica was chosen, while its connection is being established.
BOOST_AUTO_TEST_CASE(request_is_not_sent_if_chosen_replica_starts_leaving_or_resting)
{
    const ReplicaNotice leaving{true, std::nullopt, {}};
    const ReplicaNotice resting{false, Microseconds(sRestTime), {}};
    for (const ReplicaNotice &notice : {leaving, resting}) {
        GatewayFixture fixture;
        fixture.writeConfig(1);
        ScriptedReplica &replica = fixture.addReplica("i-1", "plain", successAnswer);
        fixture.run([&]() -> awaitable<void> {
            co_await fixture.waitFor([&] {
                return fixture.front().isReady() && fixture.replicas().replicas().all().size() == 1;
            });
            bool isDone = false;
            asio::co_spawn(
                fixture.context,
                [&]() -> awaitable<void> {
                    const auto response = co_await fixture.call("POST", "/safe/a", "id1");
                    BOOST_TEST((response.has_value() && response->status == 503));
                    isDone = true;
                },
                asio::detached);
            while (fixture.replicas().replicas().find("i-1")->inFlight == 0) {
                co_await asio::post(fixture.context, asio::use_awaitable);
            }
            fixture.replicas().noteNotice({"i-1"}, notice);
            co_await fixture.waitFor([&] { return isDone; });
            BOOST_TEST(replica.requests() == 0);
        });
    }
}

BOOST_AUTO_TEST_CASE(resting_replica_gets_at_most_two_requests_until_rest_ends)
{
    for (const std::string &fields : {sNotExecutedField + sRestField, sRestField}) {
        NoticeFixture fixture(fixedLengthNotice(503, fields));
        fixture.run([&]() -> awaitable<void> {
            co_await fixture.waitUntilReady();
            co_await fixture.sendUntilNotice();
            const Instant restStart = fixture.arrivals.front();
            fixture.isSendingNotice = false;
            while (now() < restStart + sRestTime) {
                BOOST_TEST(co_await fixture.sendRequest() == 200);
            }
            const auto arrivalsInRest = std::ranges::count_if(
                fixture.arrivals, [&](Instant arrival) {
                    return arrival >= restStart + sSettlingTime && arrival < restStart + sRestTime;
                });
            BOOST_TEST(arrivalsInRest <= sMaxArrivalsInRest);
            // After the rest, the replica gets requests again.
            const std::size_t arrivalsBefore = fixture.arrivals.size();
            while (fixture.arrivals.size() < arrivalsBefore + 3) {
                BOOST_TEST(co_await fixture.sendRequest() == 200);
            }
        });
    }
}

BOOST_AUTO_TEST_CASE(callers_get_retry_after_while_all_replicas_rest)
{
    GatewayFixture fixture;
    fixture.writeConfig(1);
    const auto refuses = [](const std::string &head) {
        return Answer{headOf(503, head, sNotExecutedField + sRestField + sEmptyBody)};
    };
    ScriptedReplica &first = fixture.addReplica("i-1", "plain", refuses);
    ScriptedReplica &second = fixture.addReplica("i-2", "plain", refuses);
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitFor([&] {
            return fixture.front().isReady() && fixture.replicas().replicas().all().size() == 2;
        });
        const auto startedAt = now();
        for (int call = 0; call < sCallCount && now() < startedAt + sSettlingTime; ++call) {
            const auto response
                = co_await fixture.call("POST", "/safe/a", "id" + std::to_string(call));
            BOOST_REQUIRE(response.has_value());
            BOOST_TEST(response->status == 503);
            // Callers are asked to wait for a third of their remaining time at most, so that the
            // value may be less than the rest.
            BOOST_TEST(std::stod(std::string(response->header("Retry-After"))) >= 1.0);
        }
        BOOST_TEST(first.requests() + second.requests() == 2);
    });
}

BOOST_AUTO_TEST_CASE(notice_headers_are_not_forwarded_to_callers)
{
    for (const std::string &fields :
         {sSignatureField + sLeavingField,
          sSignatureField + "Server-Limit: 1000000\r\n" + sLeavingField}) {
        NoticeFixture fixture(fixedLengthNotice(200, fields));
        fixture.run([&]() -> awaitable<void> {
            co_await fixture.waitUntilReady();
            while (fixture.arrivals.empty()) {
                const auto response = co_await fixture.call("POST", "/safe/a", "id");
                BOOST_REQUIRE(response.has_value());
                BOOST_TEST(response->header("Server-Leaving").empty());
                BOOST_TEST(response->header("Server-Limit").empty());
            }
        });
    }
}

BOOST_AUTO_TEST_CASE(exit_of_leaving_replica_is_not_counted_as_crash)
{
    GatewayFixture fixture;
    fixture.writeConfig(1);
    ScriptedReplica *replica = nullptr;
    replica = &fixture.addReplica("i-1", "plain", [&](const std::string &head) {
        replica->end();
        Answer answer = streamedNotice("", sLeavingField).answer(head);
        answer.bytes.resize(answer.bytes.size() - sLastChunk.size());
        answer.closes = true;
        return answer;
    });
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitFor([&] {
            return fixture.front().isReady() && fixture.replicas().replicas().all().size() == 1;
        });
        co_await fixture.call("POST", "/stream/a", "id1");
        BOOST_TEST(fixture.metrics().counter("replica_crashes") == 0U);
    });
}
