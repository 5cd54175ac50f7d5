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

#include "acceptconnections.h"
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
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(event(1))
        + sLastChunk;
}

constexpr std::size_t sUploadBytes = std::size_t{3} * 1024 * 1024;

enum class UploadEnd
{
    ResetsEarly, ///< the replica resets the connection with most of the upload unread
    ClosesEarly, ///< it closes the connection at that time
    ClosesAfterUpload, ///< it reads all of the upload first
};

/** A replica that sends @p answer to a large upload without a length, and ends the connection. */
class EarlyReplica
{
public:
    EarlyReplica(GatewayFixture &fixture, std::string answer, UploadEnd end)
        : mAcceptor(fixture.context)
        , mAnswer(std::move(answer))
        , mEnd(end)
    {
        const Tcp::endpoint anyPort(asio::ip::address_v4::loopback(), 0);
        mAcceptor.open(anyPort.protocol());
        if (mEnd != UploadEnd::ClosesAfterUpload) {
            // Keeps most of the upload at the gateway.
            mAcceptor.set_option(asio::socket_base::receive_buffer_size(4'096));
        }
        mAcceptor.bind(anyPort);
        mAcceptor.listen();
        fixture.store.write(Feed::Replicas, "i-early",
                            R"({"service":"plain","address":")"
                                + endpointText(mAcceptor.local_endpoint())
                                + R"(","zone":"z1","slots":4,"state":"ready","models":[]})");
        asio::co_spawn(
            fixture.context,
            acceptConnections(mAcceptor,
                              [this](SharedSocket socket) { return serve(std::move(socket)); }),
            asio::detached);
    }

    std::size_t uploadedBytes = 0; ///< that the replica had read when it answered
    int requests = 0;

private:
    awaitable<void> serve(SharedSocket socket)
    {
        std::string head;
        const std::string blank = "\r\n\r\n";
        auto [error, size]
            = co_await asio::async_read_until(*socket, asio::dynamic_buffer(head), blank, sAsValue);
        if (error) {
            co_return;
        }
        ++requests;
        uploadedBytes = head.size() - size;
        std::string piece(64 * 1024, '\0');
        while (mEnd == UploadEnd::ClosesAfterUpload && uploadedBytes < sUploadBytes) {
            auto [readError, count]
                = co_await socket->async_read_some(asio::buffer(piece), sAsValue);
            BOOST_REQUIRE(!readError);
            uploadedBytes += count;
        }
        co_await asio::async_write(*socket, asio::buffer(mAnswer), sAsValue);
        if (mEnd == UploadEnd::ResetsEarly) {
            socket->set_option(asio::socket_base::linger(true, 0));
        }
        socket->close();
    }

    Tcp::acceptor mAcceptor;
    std::string mAnswer;
    UploadEnd mEnd;
};

/** Uploads to an EarlyReplica; returns whether the caller got a whole answer. */
bool isWholeAfterUpload(const std::string &path, const std::string &answer, UploadEnd end)
{
    GatewayFixture fixture;
    fixture.writeConfig(1);
    EarlyReplica replica(fixture, answer, end);
    bool isWhole = false;
    fixture.run([&]() -> awaitable<void> {
        co_await waitForReplica(fixture);
        HttpCall call;
        call.endpoint = fixture.front().localEndpoint();
        call.method = "POST";
        call.target = path;
        call.headers = {{"Loomjunction-Request-Id", "id1"},
                        {"Loomjunction-Deadline-Ms", "6000"},
                        {"Authorization", "Token k"},
                        {"Host", "h"}};
        call.body = std::string(sUploadBytes, 'u');
        call.timeout = std::chrono::seconds(20);
        HttpClient client(fixture.context.get_executor());
        const auto response = co_await client.send(std::move(call));
        isWhole = response && response->status / 100 == 2;
        BOOST_TEST(replica.requests == 1);
        const bool isEarly = end != UploadEnd::ClosesAfterUpload;
        BOOST_TEST((replica.uploadedBytes < sUploadBytes / 2) == isEarly);
    });
    return isWhole;
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

BOOST_AUTO_TEST_CASE(an_answer_with_a_malformed_field_is_none)
{
    const std::vector<std::string> fields{
        "Bad Name: x",
        " Leading: x",
        "Trailing : x",
        "Tab\tbed: x",
        "Control\x01: x",
        "Delete\x7f: x",
        "High\xe9: x",
        ": x",
        "No colon",
        "Value: a\x01"
        "b",
        "Value: a\rb",
        std::string("Nul\0l: x", 8),
        "Content-Length : 1",
        "Transfer-Encoding : chunked",
        "Content Length: 1",
    };
    for (const std::string &field : fields) {
        BOOST_TEST_CONTEXT("field " << field)
        {
            BOOST_TEST(statusOf("/once/a", plainAnswer("200", field + "\r\n")) == 502);
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
        "gzip", "gzip, chunked", "chunked, identity", "xchunked", "identity",
        "",     "chunked;q=1",   "chunked, chunked",
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

// The write of the upload received the reset, so that the read saw an ordinary end. It comes about
// by chance, hence the rounds.
BOOST_AUTO_TEST_CASE(a_part_of_an_answer_before_an_end_within_the_upload_is_not_whole)
{
    constexpr int rounds = 10;
    const std::string answer = "HTTP/1.1 200 OK\r\n" + sOwnId + sSigned + "\r\npart of the bo";
    const std::string stream = "HTTP/1.1 200 OK\r\n" + sOwnId + sSigned
        + "Content-Type: text/event-stream\r\n\r\n" + event(1) + event(2);
    for (const UploadEnd end : {UploadEnd::ResetsEarly, UploadEnd::ClosesEarly}) {
        for (int round = 0; round < rounds; ++round) {
            BOOST_TEST(!isWholeAfterUpload("/once/a", answer, end));
            BOOST_TEST(!isWholeAfterUpload("/quickonce/a", stream, end));
        }
    }
}

BOOST_AUTO_TEST_CASE(an_answer_without_length_after_the_whole_upload_is_whole)
{
    const std::string head = "HTTP/1.1 200 OK\r\n" + sOwnId + sSigned;
    const UploadEnd end = UploadEnd::ClosesAfterUpload;
    BOOST_TEST(isWholeAfterUpload("/once/a", head + "\r\nwhole", end));
    const std::string stream = "Content-Type: text/event-stream\r\n\r\n" + event(1) + event(2);
    BOOST_TEST(isWholeAfterUpload("/quickonce/a", head + stream, end));
}

BOOST_AUTO_TEST_CASE(a_framed_answer_before_a_reset_within_the_upload_is_whole)
{
    const std::string answer
        = "HTTP/1.1 200 OK\r\n" + sOwnId + sSigned + "Content-Length: 5\r\n\r\nwhole";
    BOOST_TEST(isWholeAfterUpload("/once/a", answer, UploadEnd::ResetsEarly));
}
