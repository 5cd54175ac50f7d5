/*
 * test_httplink.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "httplink.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

using namespace Loom;

namespace {

constexpr std::chrono::seconds sGenerous{10};

/** Answers each request on one connection with the next of some raw texts. */
class RawUpstream
{
public:
    RawUpstream(asio::io_context &context, std::vector<std::string> answers, bool resets = false)
        : mAcceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , mAnswers(std::move(answers))
        , mResets(resets)
    {
        asio::co_spawn(context, serve(), asio::detached);
    }

    Tcp::endpoint address() const { return mAcceptor.local_endpoint(); }
    const std::string &received() const { return mReceived; }

private:
    awaitable<void> serve()
    {
        auto [acceptError, socket] = co_await mAcceptor.async_accept(sAsValue);
        for (const std::string &answer : mAnswers) {
            const std::string blank = "\r\n\r\n";
            auto [error, size] = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(mReceived), blank, sAsValue);
            if (error) {
                co_return;
            }
            co_await asio::async_write(socket, asio::buffer(answer), sAsValue);
        }
        if (mResets) {
            // Let the bytes arrive before the reset discards what is on its way.
            co_await sleepFor(std::chrono::milliseconds(50));
            socket.set_option(asio::socket_base::linger(true, 0));
        }
        socket.close();
    }

    Tcp::acceptor mAcceptor;
    std::vector<std::string> mAnswers;
    bool mResets;
    std::string mReceived;
};

HttpLink::Deadline soon()
{
    return std::chrono::steady_clock::now() + sGenerous;
}

const std::vector<HttpHeader> sHeaders{{"Host", "h.example"}};

LinkRequest getRequest()
{
    return {"GET", "/a", sHeaders, ""};
}

/** Runs @p test against an upstream that gives @p answers. */
template <class Test> void withUpstream(std::vector<std::string> answers, bool resets, Test test)
{
    asio::io_context context;
    RawUpstream upstream(context, std::move(answers), resets);
    bool ended = false;
    const auto run = [&]() -> awaitable<void> {
        const Tcp::endpoint address = upstream.address();
        auto link = co_await HttpLink::connect(address, sGenerous);
        BOOST_REQUIRE(link.has_value());
        co_await test(**link);
        ended = true;
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    BOOST_TEST(ended);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_framed_answer_leaves_the_link_usable)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: 7\r\n"
                               "Keep-Alive: timeout=5\r\n\r\nok";
    withUpstream({answer, answer}, false, [](HttpLink &link) -> awaitable<void> {
        for (int round = 0; round < 2; ++round) {
            const LinkRequest request = getRequest();
            const auto head = co_await link.exchange(request, soon());
            BOOST_TEST(head->status == 200);
            BOOST_TEST(head->header("x-id") == "7");
            const auto body = co_await link.readWhole(100, soon());
            BOOST_TEST(*body == "ok");
            BOOST_TEST(link.isReusable());
        }
    });
}

BOOST_AUTO_TEST_CASE(a_surplus_answer_is_told_by_its_head_and_passed_over)
{
    const std::string stale = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-Id: old\r\n\r\nold";
    const std::string own = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-Id: own\r\n\r\nown";
    withUpstream({stale + own}, false, [](HttpLink &link) -> awaitable<void> {
        const LinkRequest request = getRequest();
        const auto first = co_await link.exchange(request, soon());
        BOOST_TEST(first->header("X-Id") == "old");
        const auto second = co_await link.nextHead(soon());
        BOOST_TEST(second->header("X-Id") == "own");
        const auto body = co_await link.readWhole(100, soon());
        BOOST_TEST(*body == "own");
    });
}

BOOST_AUTO_TEST_CASE(bytes_behind_an_answer_end_the_links_use)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n";
    withUpstream({answer}, false, [](HttpLink &link) -> awaitable<void> {
        const LinkRequest request = getRequest();
        co_await link.exchange(request, soon());
        const auto body = co_await link.readWhole(100, soon());
        BOOST_TEST(*body == "ok");
        BOOST_TEST(!link.isReusable());
    });
}

BOOST_AUTO_TEST_CASE(an_answer_without_length_is_whole_at_its_clean_end_only)
{
    const std::string answer = "HTTP/1.1 200 OK\r\n\r\npart one, part two";
    withUpstream({answer}, false, [](HttpLink &link) -> awaitable<void> {
        const LinkRequest request = getRequest();
        co_await link.exchange(request, soon());
        const auto body = co_await link.readWhole(100, soon());
        BOOST_TEST(*body == "part one, part two");
        BOOST_TEST(!link.isReusable());
    });
    withUpstream({answer}, true, [](HttpLink &link) -> awaitable<void> {
        const LinkRequest request = getRequest();
        co_await link.exchange(request, soon());
        const auto body = co_await link.readWhole(100, soon());
        BOOST_TEST(!body.has_value());
        BOOST_TEST((body.error() == LinkError::Closed));
    });
}

BOOST_AUTO_TEST_CASE(what_is_cut_or_no_answer_fails)
{
    const std::string cut = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";
    withUpstream({cut}, false, [](HttpLink &link) -> awaitable<void> {
        const LinkRequest request = getRequest();
        co_await link.exchange(request, soon());
        const auto body = co_await link.readWhole(100, soon());
        BOOST_TEST(!body.has_value());
        BOOST_TEST(!link.isReusable());
    });
    withUpstream({"nonsense\r\n\r\n"}, false, [](HttpLink &link) -> awaitable<void> {
        const LinkRequest request = getRequest();
        const auto head = co_await link.exchange(request, soon());
        BOOST_TEST(!head.has_value());
        BOOST_TEST((head.error() == LinkError::Malformed));
    });
}

// Callers got the status 000 as an answer.
BOOST_AUTO_TEST_CASE(an_answer_with_a_status_outside_the_protocol_is_malformed)
{
    for (const std::string status : {"000", "001", "099", "101", "600", "999"}) {
        const std::string answer = "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok";
        withUpstream({answer}, false, [](HttpLink &link) -> awaitable<void> {
            const LinkRequest request = getRequest();
            const auto head = co_await link.exchange(request, soon());
            BOOST_REQUIRE(!head.has_value());
            BOOST_TEST((head.error() == LinkError::Malformed));
            BOOST_TEST(!link.isReusable());
        });
    }
}

BOOST_AUTO_TEST_CASE(cancelling_ends_what_is_under_way)
{
    asio::io_context context;
    RawUpstream upstream(context, {""});
    std::optional<LinkError> seen;
    const auto run = [&]() -> awaitable<void> {
        const Tcp::endpoint address = upstream.address();
        auto link = co_await HttpLink::connect(address, sGenerous);
        asio::post(context, [&] { (*link)->cancel(); });
        const LinkRequest request = getRequest();
        const auto head = co_await (*link)->exchange(request, soon());
        seen = head.error();
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    BOOST_TEST((seen == LinkError::Cancelled));
}
