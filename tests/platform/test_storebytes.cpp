/*
 * test_storebytes.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "http.h"
#include "storeclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

using namespace Loom;

// The server answers a full read of a feed with two pages, and a log read with one record.
BOOST_AUTO_TEST_CASE(batch_counts_the_bytes_of_its_answers)
{
    const std::string firstPage
        = R"({"end":2,"more":true,"items":[{"tls_key":"a","offset":0,"value":"eA=="}]})";
    const std::string lastPage
        = R"({"end":2,"more":false,"items":[{"tls_key":"b","offset":1,"value":"eA=="}]})";
    const std::string logRead = std::string(16, '\0') + Platform::encodeKeyedRecord("c", "value");

    asio::io_context context{1};
    HttpServer server(context.get_executor(), [&](HttpExchange &exchange) -> awaitable<void> {
        const std::string target = exchange.request().target;
        const bool isLogRead = target.starts_with("/log-read");
        const bool isFirst = target.find("since_rev") == std::string::npos;
        HttpResponse response{200, {}, isLogRead ? logRead : isFirst ? firstPage : lastPage};
        co_await exchange.respond(std::move(response));
    });
    BOOST_REQUIRE(server.listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0)).has_value());
    Platform::StoreClient store(context.get_executor(), server.localEndpoint());
    const auto test = [&]() -> awaitable<void> {
        const auto all = co_await store.newest(Feed::Operators);
        BOOST_REQUIRE(all.has_value());
        BOOST_TEST(all->records.size() == 2U);
        BOOST_TEST(all->bytes == firstPage.size() + lastPage.size());
        const auto readBatch = co_await store.read(Feed::Operators, 2, Milliseconds(1'000));
        BOOST_REQUIRE(readBatch.has_value());
        BOOST_TEST(readBatch->records.size() == 1U);
        BOOST_TEST(readBatch->bytes == logRead.size());
        server.stopListening();
        context.stop();
    };
    asio::co_spawn(context, test(), asio::detached);
    context.run();
}
