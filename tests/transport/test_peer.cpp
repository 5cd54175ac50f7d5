/*
 * test_peer.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#define BOOST_TEST_MODULE transport
#include <boost/test/unit_test.hpp>

#include "http.h"
#include "logclient.h"
#include "peerserver.h"
#include "runtest.h"
#include "wire.pb.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

using namespace Loom;

namespace {

const Tcp::endpoint sAnyPort(asio::ip::make_address("127.0.0.1"), 0);

auto soon()
{
    return std::chrono::steady_clock::now() + std::chrono::seconds(20);
}

awaitable<void> echo(PeerStreamPtr stream)
{
    while (true) {
        const auto message = co_await stream->receiveMessage<wire::ChunkAnswer>(soon());
        if (!message || !*message) {
            break;
        }
        stream->send(**message);
        co_await stream->drained();
    }
    stream->finish();
}

} // namespace

BOOST_AUTO_TEST_CASE(many_streams_share_a_connection_and_keep_their_messages_apart)
{
    asio::io_context context;
    PeerServer server(context.get_executor(), echo);
    BOOST_REQUIRE(server.listen(sAnyPort).has_value());
    runTest(context, [&]() -> awaitable<void> {
        auto connection
            = co_await PeerConnection::connect(server.localEndpoint(), std::chrono::seconds(5));
        BOOST_REQUIRE(connection.has_value());
        std::vector<PeerStreamPtr> streams;
        for (int i = 0; i < 200; ++i) {
            streams.push_back((*connection)->open("/echo"));
            wire::ChunkAnswer message;
            message.set_data(std::string(static_cast<std::size_t>(i) * 100, 'a')
                             + std::to_string(i));
            streams.back()->send(message);
            streams.back()->finish();
        }
        for (int i = 0; i < 200; ++i) {
            const auto answer
                = co_await streams[static_cast<std::size_t>(i)]->receiveMessage<wire::ChunkAnswer>(
                    soon());
            BOOST_REQUIRE((answer && *answer));
            BOOST_TEST((*answer)->data().ends_with(std::to_string(i)));
            const auto end = co_await streams[static_cast<std::size_t>(i)]->receive(soon());
            BOOST_TEST((end && !*end));
        }
    });
}

BOOST_AUTO_TEST_CASE(a_message_larger_than_the_window_arrives_whole)
{
    asio::io_context context;
    PeerServer server(context.get_executor(), echo);
    BOOST_REQUIRE(server.listen(sAnyPort).has_value());
    runTest(context, [&]() -> awaitable<void> {
        auto connection
            = co_await PeerConnection::connect(server.localEndpoint(), std::chrono::seconds(5));
        const PeerStreamPtr stream = (*connection)->open("/echo");
        wire::ChunkAnswer message;
        message.set_data(std::string(6 * 1024 * 1024, 'z'));
        stream->send(message);
        const auto answer = co_await stream->receiveMessage<wire::ChunkAnswer>(soon());
        BOOST_REQUIRE((answer && *answer));
        BOOST_TEST((*answer)->data().size() == message.data().size());
    });
}

BOOST_AUTO_TEST_CASE(a_reader_that_does_not_read_holds_its_sender_back)
{
    asio::io_context context;
    std::size_t sent = 0;
    PeerServer server(context.get_executor(), [&](PeerStreamPtr stream) -> awaitable<void> {
        wire::ChunkAnswer message;
        message.set_data(std::string(64 * 1024, 'q'));
        for (int i = 0; i < 1'000 && stream->isOpen(); ++i) {
            stream->send(message);
            ++sent;
            co_await stream->drained();
        }
    });
    BOOST_REQUIRE(server.listen(sAnyPort).has_value());
    runTest(context, [&]() -> awaitable<void> {
        auto connection
            = co_await PeerConnection::connect(server.localEndpoint(), std::chrono::seconds(5));
        const PeerStreamPtr stream = (*connection)->open("/flood");
        stream->finish();
        const auto first = co_await stream->receive(soon());
        BOOST_TEST((first && *first));
        std::size_t before = 0;
        do { // until the sender stands still
            before = sent;
            co_await sleepFor(std::chrono::milliseconds(200));
        } while (sent != before);
        BOOST_TEST(sent < 100u);
        stream->reset();
    });
}

BOOST_AUTO_TEST_CASE(malformed_frames_close_that_peer_and_nothing_else)
{
    asio::io_context context;
    PeerServer server(context.get_executor(), echo);
    BOOST_REQUIRE(server.listen(sAnyPort).has_value());
    runTest(context, [&]() -> awaitable<void> {
        auto good
            = co_await PeerConnection::connect(server.localEndpoint(), std::chrono::seconds(5));
        Tcp::socket bad(context);
        co_await bad.async_connect(server.localEndpoint(), asio::use_awaitable);
        const std::string noise(100, '\x17');
        co_await asio::async_write(bad, asio::buffer(noise), asio::use_awaitable);
        std::string rest(4'096, '\0');
        while (true) {
            auto [error, size] = co_await bad.async_read_some(asio::buffer(rest), sAsValue);
            if (error) {
                break; // closed by the server
            }
        }
        const PeerStreamPtr stream = (*good)->open("/echo");
        wire::ChunkAnswer message;
        message.set_data("still here");
        stream->send(message);
        const auto answer = co_await stream->receiveMessage<wire::ChunkAnswer>(soon());
        BOOST_REQUIRE((answer && *answer));
        BOOST_TEST((*answer)->data() == "still here");
    });
}

BOOST_AUTO_TEST_CASE(a_cut_connection_never_looks_like_a_clean_end)
{
    asio::io_context context;
    PeerServer server(context.get_executor(), [](PeerStreamPtr stream) -> awaitable<void> {
        wire::ChunkAnswer message;
        message.set_data("first");
        stream->send(message);
        co_await sleepFor(std::chrono::milliseconds(50));
        stream->connection()->close();
    });
    BOOST_REQUIRE(server.listen(sAnyPort).has_value());
    runTest(context, [&]() -> awaitable<void> {
        auto connection
            = co_await PeerConnection::connect(server.localEndpoint(), std::chrono::seconds(5));
        const PeerStreamPtr stream = (*connection)->open("/cut");
        BOOST_TEST((co_await stream->receive(soon())).has_value());
        const auto next = co_await stream->receive(soon());
        BOOST_TEST(!next.has_value());
    });
}

BOOST_AUTO_TEST_CASE(base64_reads_back_what_it_wrote)
{
    for (const std::string text : {"", "a", "ab", "abc", "abcd"}) {
        BOOST_TEST(fromBase64(toBase64(text)) == text);
    }
    BOOST_TEST(fromBase64("not base64!").empty());
}
