/*
 * test_headrequests.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The gateway's own answers to HEAD had a body, which clients read as their next answer.

#include <boost/test/unit_test.hpp>

#include "answertexts.h"
#include "gatewayfixture.h"
#include "streamtext.h"

using namespace Loom;

namespace {

std::string requestText(const std::string &method, const std::string &path, const std::string &id,
                        const std::string &key)
{
    return method + " " + path + " HTTP/1.1\r\nHost: h\r\nLoomjunction-Request-Id: " + id
        + "\r\nAuthorization: Token " + key + "\r\n\r\n";
}

/** Sends HEAD and then GET on one connection; returns what follows the head of the first answer. */
std::string bytesAfterHead(GatewayFixture &fixture, std::size_t replicas, const std::string &path,
                           const std::string &key = "k")
{
    std::string received;
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitFor([&] {
            return fixture.front().isReady()
                && fixture.replicas().replicas().all().size() == replicas;
        });
        auto socket
            = co_await connectWithin(fixture.front().localEndpoint(), std::chrono::seconds(5));
        const std::string requests
            = requestText("HEAD", path, "id1", key) + requestText("GET", path, "id2", key);
        co_await asio::async_write(*socket, asio::buffer(requests), sAsValue);
        const std::string blank = "\r\n\r\n";
        auto [error, size] = co_await asio::async_read_until(
            *socket, asio::dynamic_buffer(received), blank, sAsValue);
        BOOST_REQUIRE(!error);
        received.erase(0, size);
        co_await asio::async_read_until(*socket, asio::dynamic_buffer(received), blank, sAsValue);
    });
    return received;
}

const std::string sAnswerBegin = "HTTP/1.1 ";

} // namespace

BOOST_AUTO_TEST_CASE(refusals_of_head_requests_have_no_body)
{
    struct Refusal
    {
        std::string path;
        std::string key;
    };
    const std::vector<Refusal> refusals{{"/safe/a", "k"}, {"/none/a", "k"}, {"/safe/a", "wrong"}};
    for (const Refusal &refusal : refusals) {
        GatewayFixture fixture;
        fixture.writeConfig(1);
        const std::string rest = bytesAfterHead(fixture, 0, refusal.path, refusal.key);
        BOOST_TEST(rest.substr(0, sAnswerBegin.size()) == sAnswerBegin);
    }
}

BOOST_AUTO_TEST_CASE(answers_of_replicas_to_head_requests_have_no_body)
{
    const auto answersHead = [](const std::string &head) -> ScriptedReplica::Answer {
        const std::string text
            = answerText(200, requestIdOf(head), "Loomjunction-Response-Signature: s\r\n", "body");
        const bool isHead = head.starts_with("HEAD ");
        return {isHead ? text.substr(0, text.size() - 4) : text, false};
    };
    const auto streams = [](const std::string &head) -> ScriptedReplica::Answer {
        const bool isHead = head.starts_with("HEAD ");
        return {streamHead(requestIdOf(head)) + (isHead ? "" : chunk(event(1)) + sLastChunk),
                false};
    };
    for (const bool isStream : {false, true}) {
        GatewayFixture fixture;
        fixture.writeConfig(1);
        if (isStream) {
            fixture.addReplica("i-1", "plain", streams);
        } else {
            fixture.addReplica("i-1", "plain", answersHead);
        }
        const std::string rest = bytesAfterHead(fixture, 1, isStream ? "/stream/a" : "/safe/a");
        BOOST_TEST(rest.substr(0, sAnswerBegin.size()) == sAnswerBegin);
    }
}
