/*
 * test_noanswers.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A replica in trouble may send bytes that look like an answer. Callers got the status 000, bodies
// in unknown transfer codings, and the part of a body that had arrived before a reset, as answers.

#include <boost/test/unit_test.hpp>

#include "answertexts.h"
#include "gatewayfixture.h"
#include "streamtext.h"

using namespace Loom;

namespace {

const std::string sSigned = "Loomjunction-Response-Signature: s\r\n";
const std::string sOwnId = "Loomjunction-Request-Id: id1\r\n";

awaitable<void> waitForReplica(GatewayFixture &fixture)
{
    co_await fixture.waitFor([&fixture] {
        return fixture.front().isReady() && fixture.replicas().replicas().all().size() == 1;
    });
}

/** Status that the caller of @p path gets when the only replica sends @p bytes and closes. */
int statusOf(const std::string &path, const std::string &bytes)
{
    GatewayFixture fixture;
    fixture.writeConfig(1);
    fixture.addReplica("i-1", "plain", [&](const std::string &) {
        return ScriptedReplica::Answer{bytes, true};
    });
    int status = 0;
    fixture.run([&]() -> awaitable<void> {
        co_await waitForReplica(fixture);
        const auto response = co_await fixture.call("POST", path, "id1");
        BOOST_REQUIRE(response.has_value());
        status = response->status;
    });
    return status;
}

std::string plainAnswer(const std::string &status, const std::string &fields)
{
    return "HTTP/1.1 " + status + " X\r\n" + sOwnId + sSigned + fields
        + "Content-Length: 2\r\n\r\nok";
}

std::string streamAnswer(const std::string &status)
{
    return "HTTP/1.1 " + status + " X\r\n" + sOwnId + sSigned
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunk(event(1)) + sLastChunk;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_answer_with_a_status_outside_the_protocol_is_none)
{
    BOOST_TEST(statusOf("/once/a", plainAnswer("200", "")) == 200);
    BOOST_TEST(statusOf("/once/a", plainAnswer("404", "")) == 404);
    BOOST_TEST(statusOf("/stream/a", streamAnswer("200")) == 200);
    for (const std::string status : {"000", "001", "099", "101", "600", "999"}) {
        BOOST_TEST_CONTEXT("status " << status)
        {
            BOOST_TEST(statusOf("/once/a", plainAnswer(status, "")) == 502);
            BOOST_TEST(statusOf("/stream/a", streamAnswer(status)) == 502);
        }
    }
}

BOOST_AUTO_TEST_CASE(an_answer_in_another_transfer_coding_than_chunked_is_none)
{
    const std::string body = chunk("ok") + sLastChunk;
    const auto coded = [&](const std::string &codings) {
        return "HTTP/1.1 200 X\r\n" + sOwnId + sSigned + codings + "\r\n" + body;
    };
    BOOST_TEST(statusOf("/once/a", coded("Transfer-Encoding: Chunked\r\n")) == 200);
    const std::vector<std::string> others{
        "gzip",          "gzip, chunked", "chunked, identity", "xchunked", "identity", "",
        "chunked;q=1", "chunked, chunked",
    };
    for (const std::string &coding : others) {
        BOOST_TEST_CONTEXT("coding " << coding)
        {
            BOOST_TEST(statusOf("/once/a", coded("Transfer-Encoding: " + coding + "\r\n")) == 502);
        }
    }
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    BOOST_TEST(statusOf("/once/a", coded(chunked + chunked)) == 502);
    BOOST_TEST(statusOf("/once/a", coded(chunked + "Content-Length: 2\r\n")) == 502);
    BOOST_TEST(statusOf("/once/a", coded("Content-Length: 2\r\n" + chunked)) == 502);
}
