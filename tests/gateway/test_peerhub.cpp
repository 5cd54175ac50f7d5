/*
 * test_peerhub.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "gatewayfixture.h"
#include "peerhub.h"
#include "wire.pb.h"

using namespace Loom;

namespace {

constexpr std::chrono::seconds sTestTimeout{20};
constexpr std::size_t sLengthPrefixBytes = 4; ///< before each message

/** A hub that counts, with a kernel of its own. */
class PeerHubFixture
{
public:
    explicit PeerHubFixture(asio::io_context &context, Tcp::endpoint address)
        : mKernel(context.get_executor())
    {
        mKernel.add(std::make_unique<PeerHub>(std::move(address)));
        hub().countInto(metrics);
    }

    PeerHub &hub() { return mKernel.find<PeerHub>(PeerHub::sName); }
    void start() { BOOST_REQUIRE(mKernel.start().has_value()); }
    void stop() { mKernel.stop(); }

    Metrics metrics;

private:
    Kernel mKernel;
};

Tcp::endpoint freeEndpoint(asio::io_context &context)
{
    Tcp::acceptor acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return acceptor.local_endpoint();
}

std::string member(std::string_view address, std::string_view dataCentre)
{
    return R"({"box":"b","role":"stager","peers":")" + std::string(address) + R"(","dataCentre":")"
        + std::string(dataCentre) + R"(","incarnation":1})";
}

PeerLocation locationOf(GatewayFixture &lab, std::string_view address)
{
    return lab.members().locationOf(*parseEndpoint(address));
}

} // namespace

BOOST_AUTO_TEST_CASE(each_end_counts_sent_bytes_by_purpose_and_location)
{
    asio::io_context context{1};
    const Tcp::endpoint address = freeEndpoint(context);
    PeerHubFixture asking(context, freeEndpoint(context));
    PeerHubFixture answering(context, address);
    asking.hub().setPeerLocator([&](const Tcp::endpoint &remote) {
        return remote == address ? PeerLocation::OtherDataCentre : PeerLocation::Unknown;
    });
    wire::FollowRequest question;
    question.set_box("asks");
    wire::FollowUpdate answer;
    answer.add_records()->set_value(std::string(100'000, 'x'));
    const auto serve = [&](PeerStreamPtr stream) -> awaitable<void> {
        const auto deadline = std::chrono::steady_clock::now() + sTestTimeout;
        const auto received = co_await stream->receiveMessage<wire::FollowRequest>(deadline);
        BOOST_TEST((received && received->has_value()));
        stream->send(answer);
        stream->finish();
    };
    answering.hub().serve("/chunk", serve);
    answering.hub().serve("/have", serve);
    const auto ask = [&](std::string path) -> awaitable<void> {
        const PeerStreamPtr stream = co_await asking.hub().open(address, std::move(path));
        BOOST_REQUIRE(stream);
        stream->send(question);
        const auto deadline = std::chrono::steady_clock::now() + sTestTimeout;
        const auto received = co_await stream->receiveMessage<wire::FollowUpdate>(deadline);
        BOOST_TEST((received && received->has_value()));
    };
    const auto test = [&]() -> awaitable<void> {
        asking.start();
        answering.start();
        const std::string chunk = "/chunk";
        const std::string have = "/have";
        co_await ask(chunk);
        co_await ask(chunk);
        co_await ask(have);
        asking.stop();
        answering.stop();
        context.stop();
    };
    asio::co_spawn(context, test(), asio::detached);
    context.run();

    const std::uint64_t asked = question.ByteSizeLong() + sLengthPrefixBytes;
    const std::uint64_t answered = answer.ByteSizeLong() + sLengthPrefixBytes;
    BOOST_TEST(asking.metrics.counter("peer_bytes", "chunk, other data centre") == 2 * asked);
    BOOST_TEST(asking.metrics.counter("peer_bytes", "have, other data centre") == asked);
    BOOST_TEST(answering.metrics.counter("peer_bytes", "chunk, data centre unknown")
               == 2 * answered);
    BOOST_TEST(answering.metrics.counter("peer_bytes", "have, data centre unknown") == answered);
    BOOST_TEST_MESSAGE(asking.metrics.text() + answering.metrics.text());
}

BOOST_AUTO_TEST_CASE(peer_location_is_determined_from_the_members_at_its_ip_address)
{
    GatewayFixture lab;
    const auto write = [&](const std::string &address, std::string_view dataCentre) {
        lab.store.write(Feed::Members, address, member(address, dataCentre));
    };
    write("127.0.0.2:1", "z1");
    write("127.0.0.3:1", "z2");
    write("127.0.0.4:1", "z1");
    write("127.0.0.4:2", "z2");
    lab.run([&]() -> awaitable<void> {
        co_await lab.waitFor([&] { return lab.members().others().size() == 4; });
        // Whoever connects to this process does so from another port.
        BOOST_TEST((locationOf(lab, "127.0.0.2:40000") == PeerLocation::OwnDataCentre));
        BOOST_TEST((locationOf(lab, "127.0.0.3:40000") == PeerLocation::OtherDataCentre));
        BOOST_TEST((locationOf(lab, "127.0.0.4:40000") == PeerLocation::Unknown));
        BOOST_TEST((locationOf(lab, "127.0.0.5:40000") == PeerLocation::Unknown));
    });
}
