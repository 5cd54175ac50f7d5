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
constexpr std::size_t sLengthPrefixBytes = 4; ///< length prefix of each message

/** A PeerHub that counts bytes, with its own kernel. */
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

std::string memberRecord(std::string_view address, std::string_view dataCentre)
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
    PeerHubFixture client(context, freeEndpoint(context));
    PeerHubFixture server(context, address);
    client.hub().setPeerLocator([&](const Tcp::endpoint &remote) {
        return remote == address ? PeerLocation::OtherDataCentre : PeerLocation::Unknown;
    });
    wire::FollowRequest request;
    request.set_box("asks");
    wire::FollowUpdate response;
    response.add_records()->set_value(std::string(100'000, 'x'));
    const auto serve = [&](PeerStreamPtr stream) -> awaitable<void> {
        const auto deadline = std::chrono::steady_clock::now() + sTestTimeout;
        const auto received = co_await stream->receiveMessage<wire::FollowRequest>(deadline);
        BOOST_TEST((received && received->has_value()));
        stream->send(response);
        stream->finish();
    };
    server.hub().serve("/chunk", serve);
    server.hub().serve("/have", serve);
    const auto sendRequest = [&](std::string path) -> awaitable<void> {
        const PeerStreamPtr stream = co_await client.hub().open(address, std::move(path));
        BOOST_REQUIRE(stream);
        stream->send(request);
        const auto deadline = std::chrono::steady_clock::now() + sTestTimeout;
        const auto received = co_await stream->receiveMessage<wire::FollowUpdate>(deadline);
        BOOST_TEST((received && received->has_value()));
    };
    const auto test = [&]() -> awaitable<void> {
        client.start();
        server.start();
        const std::string chunk = "/chunk";
        const std::string have = "/have";
        co_await sendRequest(chunk);
        co_await sendRequest(chunk);
        co_await sendRequest(have);
        client.stop();
        server.stop();
        context.stop();
    };
    asio::co_spawn(context, test(), asio::detached);
    context.run();

    const std::uint64_t requestBytes = request.ByteSizeLong() + sLengthPrefixBytes;
    const std::uint64_t responseBytes = response.ByteSizeLong() + sLengthPrefixBytes;
    BOOST_TEST(client.metrics.counter("peer_bytes", "chunk, other data centre")
               == 2 * requestBytes);
    BOOST_TEST(client.metrics.counter("peer_bytes", "have, other data centre") == requestBytes);
    BOOST_TEST(server.metrics.counter("peer_bytes", "chunk, data centre unknown")
               == 2 * responseBytes);
    BOOST_TEST(server.metrics.counter("peer_bytes", "have, data centre unknown") == responseBytes);
    BOOST_TEST_MESSAGE(client.metrics.text() + server.metrics.text());
}

BOOST_AUTO_TEST_CASE(peer_location_is_determined_from_the_members_at_its_ip_address)
{
    GatewayFixture lab;
    const auto write = [&](const std::string &address, std::string_view dataCentre) {
        lab.store.write(Feed::Members, address, memberRecord(address, dataCentre));
    };
    write("127.0.0.2:1", "z1");
    write("127.0.0.3:1", "z2");
    write("127.0.0.4:1", "z1");
    write("127.0.0.4:2", "z2");
    lab.run([&]() -> awaitable<void> {
        co_await lab.waitFor([&] { return lab.members().others().size() == 4; });
        // Incoming connections come from ports other than the listening one.
        BOOST_TEST((locationOf(lab, "127.0.0.2:40000") == PeerLocation::OwnDataCentre));
        BOOST_TEST((locationOf(lab, "127.0.0.3:40000") == PeerLocation::OtherDataCentre));
        BOOST_TEST((locationOf(lab, "127.0.0.4:40000") == PeerLocation::Unknown));
        BOOST_TEST((locationOf(lab, "127.0.0.5:40000") == PeerLocation::Unknown));
    });
}
