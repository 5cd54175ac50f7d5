/*
 * test_storeera.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "http.h"
#include "storeclient.h"

#include <functional>
#include <tuple>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

using namespace Loom;

namespace {

/** A store whose answers to log reads, full reads and appends come from a script. */
class ScriptedStore
{
public:
    using Script = std::function<HttpResponse(const HttpRequest &request)>;

    explicit ScriptedStore(Script script)
        : mServer(mContext.get_executor(),
                  [this, script = std::move(script)](HttpExchange &exchange) -> awaitable<void> {
                      while (isSilent) {
                          co_await sleepFor(std::chrono::milliseconds(5));
                      }
                      co_await exchange.respond(script(exchange.request()));
                  })
    {
        BOOST_REQUIRE(
            mServer.listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0)).has_value());
    }

    void run(std::function<awaitable<void>(Platform::StoreClient &client)> test)
    {
        Platform::StoreClient client(mContext.get_executor(), mServer.localEndpoint());
        const auto whole = [&]() -> awaitable<void> {
            co_await test(client);
            mServer.stopListening();
            mContext.stop();
        };
        asio::co_spawn(mContext, whole(), asio::detached);
        mContext.run();
    }

    asio::io_context &context() { return mContext; }
    bool isSilent = false; ///< answers nothing

private:
    asio::io_context mContext{1};
    HttpServer mServer;
};

HttpResponse response(int status, std::string era, std::string body = {})
{
    HttpResponse response{status, {}, std::move(body)};
    if (!era.empty()) {
        response.headers.push_back({"Store-Era", std::move(era)});
    }
    return response;
}

std::string oneRecord()
{
    return std::string(16, '\0') + Platform::encodeKeyedRecord("c", "value");
}

} // namespace

BOOST_AUTO_TEST_CASE(records_have_the_era_of_their_answer)
{
    ScriptedStore store([](const HttpRequest &) { return response(200, "7", oneRecord()); });
    store.run([](Platform::StoreClient &client) -> awaitable<void> {
        BOOST_TEST(client.era() == 0U);
        const auto batch = co_await client.read(Feed::Operators, 3, Milliseconds(0));
        BOOST_REQUIRE(batch.has_value());
        BOOST_TEST(batch->era == 7U);
        BOOST_TEST((batch->records.at(0).position() == LogPosition{7, 3}));
        BOOST_TEST(client.era() == 7U);
    });
}

// Failed calls and writes show a return as well; the era known never falls.
BOOST_AUTO_TEST_CASE(every_answer_tells_the_era)
{
    std::string era = "2";
    int status = 410;
    int rises = 0;
    ScriptedStore store([&](const HttpRequest &) { return response(status, era, oneRecord()); });
    store.run([&](Platform::StoreClient &client) -> awaitable<void> {
        client.setEraListener([&] { ++rises; });
        const auto refused = co_await client.read(Feed::Operators, 9, Milliseconds(0));
        BOOST_TEST(!refused.has_value());
        BOOST_TEST(client.era() == 2U);
        std::tie(era, status) = std::pair("3", 503);
        const auto busy = co_await client.newest(Feed::Members);
        BOOST_TEST(!busy.has_value());
        BOOST_TEST(client.era() == 3U);
        std::tie(era, status) = std::pair("4", 200);
        const auto written = co_await client.put("key", "value");
        BOOST_TEST(written.has_value());
        BOOST_TEST(client.era() == 4U);
        BOOST_TEST(rises == 3);
        for (const char *other : {"3", "unreadable", "-1", ""}) {
            era = other;
            const auto batch = co_await client.read(Feed::Operators, 0, Milliseconds(0));
            BOOST_REQUIRE(batch.has_value());
            BOOST_TEST(batch->era == (era == "3" ? 3U : 4U));
            BOOST_TEST(client.era() == 4U);
        }
        BOOST_TEST(rises == 3);
    });
}

// Guards against a table that is put together from two histories of the store.
BOOST_AUTO_TEST_CASE(full_read_across_a_return_fails)
{
    ScriptedStore store([](const HttpRequest &request) {
        const bool isFirst = request.target.find("since_rev") == std::string::npos;
        return isFirst
            ? response(
                200, "1",
                R"({"end":2,"more":true,"items":[{"tls_key":"a","offset":0,"value":"eA=="}]})")
            : response(
                200, "2",
                R"({"end":1,"more":false,"items":[{"tls_key":"b","offset":0,"value":"eA=="}]})");
    });
    store.run([](Platform::StoreClient &client) -> awaitable<void> {
        const auto batch = co_await client.newest(Feed::Operators);
        BOOST_REQUIRE(!batch.has_value());
        BOOST_TEST((batch.error() == StoreError::Restored));
    });
}

BOOST_AUTO_TEST_CASE(cancelled_read_fails_at_once)
{
    ScriptedStore store([](const HttpRequest &) { return response(200, "1", oneRecord()); });
    store.isSilent = true;
    store.run([&](Platform::StoreClient &client) -> awaitable<void> {
        bool hasFailed = false;
        const auto read = [&]() -> awaitable<void> {
            const auto batch = co_await client.read(
                Feed::Replicas, 0, std::chrono::duration_cast<Milliseconds>(std::chrono::hours(1)));
            hasFailed = !batch.has_value();
        };
        asio::co_spawn(store.context(), read(), asio::detached);
        co_await sleepFor(std::chrono::milliseconds(100)); // until the read waits
        client.cancelRead(Feed::Replicas);
        while (!hasFailed) {
            co_await sleepFor(std::chrono::milliseconds(5));
        }
        BOOST_TEST(hasFailed);
        store.isSilent = false;
    });
}
