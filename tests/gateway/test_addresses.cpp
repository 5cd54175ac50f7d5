/*
 * test_addresses.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "gatewayfixture.h"
#include "jsonhttp.h"

#include <algorithm>

#include <unistd.h>

using namespace Loom;

namespace {

constexpr std::size_t sGatewaysPerDataCentre = 6;

// Each process uses a loopback address of its own, so that no other process can take the port
// before it is listened on.
Tcp::endpoint reserveEndpoint(asio::io_context &context)
{
    static std::uint32_t sUsed = 0;
    constexpr std::uint32_t loopback = 0x7f000000;
    const std::uint32_t process = static_cast<std::uint32_t>(getpid()) & 0x7fff;
    const asio::ip::address_v4 address(loopback | (process + 1) << 8 | ++sUsed);
    return Tcp::acceptor(context, Tcp::endpoint(address, 0)).local_endpoint();
}

/** The membership services of another gateway that uses the store of the fixture. */
class PeerGateway
{
public:
    PeerGateway(GatewayFixture &fixture, std::string dataCentre, std::string callers,
                std::string region = "r1")
        : mSettings(settings(fixture, std::move(dataCentre), callers))
        , mKernel(fixture.context.get_executor())
    {
        mSettings.region = std::move(region);
        mKernel.add(std::make_unique<PeerHub>(mSettings.peers));
        mKernel.add(
            std::make_unique<FeedService>(fixture.store, mSettings.box, FeedPreference::Store));
        mKernel.add(std::make_unique<MemberService>(fixture.store, mSettings, 1));
    }

    void start()
    {
        auto &members = mKernel.find<MemberService>(MemberService::sName);
        members.setStatusSource([this] {
            GatewayState state;
            state.isReady = true;
            state.isLeaving = mIsLeaving;
            return state;
        });
        BOOST_REQUIRE(mKernel.start().has_value());
    }

    void leave()
    {
        mIsLeaving = true;
        mKernel.find<MemberService>(MemberService::sName).noteChange();
    }

private:
    static MemberSettings settings(GatewayFixture &fixture, std::string dataCentre,
                                   const std::string &callers)
    {
        const Tcp::endpoint anyPort(asio::ip::address_v4::loopback(), 0);
        MemberSettings settings;
        settings.box = callers;
        settings.dataCentre = std::move(dataCentre);
        settings.region = "r1";
        settings.peers = reserveEndpoint(fixture.context);
        settings.store = anyPort;
        settings.role = GatewaySettings{*parseEndpoint(callers), anyPort, anyPort};
        return settings;
    }

    MemberSettings mSettings;
    Kernel mKernel;
    bool mIsLeaving = false;
};

/** Six gateways in each of the data centres z1 and z2; the one under test is in z1. */
class AddressFixture : public GatewayFixture
{
public:
    AddressFixture()
    {
        writeConfig(1);
        addReplica("i-1", "plain", [](const std::string &) { return ScriptedReplica::Answer{}; });
        for (std::size_t index = 1; index <= sGatewaysPerDataCentre; ++index) {
            const std::string port = ":" + std::to_string(index);
            if (index < sGatewaysPerDataCentre) {
                others.push_back(std::make_unique<PeerGateway>(*this, "z1", "10.0.1.0" + port));
            }
            others.push_back(std::make_unique<PeerGateway>(*this, "z2", "10.0.2.0" + port));
        }
    }

    awaitable<std::vector<std::string>> addressesFor(std::string dataCentre, std::string host = "h")
    {
        HttpCall question;
        question.endpoint = addresses().localEndpoint();
        question.method = "GET";
        question.target = "/resolve?name=" + host + "&region=r1&zone=" + dataCentre;
        HttpClient client(context.get_executor());
        const auto response = co_await client.send(std::move(question));
        std::vector<std::string> found;
        if (response && response->status == 200) {
            const auto answer = jsonObject(response->body);
            for (const auto &address : answer.at("addresses").as_array()) {
                found.emplace_back(address.as_string());
            }
        }
        co_return found;
    }

    /** Waits until @p count addresses are returned; gives up after 20 seconds. */
    awaitable<std::vector<std::string>> waitForAddresses(std::string dataCentre, std::size_t count)
    {
        std::vector<std::string> found;
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (found.size() != count && std::chrono::steady_clock::now() < deadline) {
            found = co_await addressesFor(dataCentre);
            co_await sleepFor(std::chrono::milliseconds(20));
        }
        co_return found;
    }

    awaitable<void> startPeers()
    {
        for (const auto &other : others) {
            other->start();
        }
        const auto all = co_await waitForAddresses("", 2 * sGatewaysPerDataCentre);
        BOOST_TEST(all.size() == 2 * sGatewaysPerDataCentre);
    }

    std::vector<std::unique_ptr<PeerGateway>> others;
};

std::size_t countOf(std::span<const std::string> addresses, std::string_view begin)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        addresses, [&](const std::string &address) { return address.starts_with(begin); }));
}

} // namespace

// When callers got the gateways of all data centres and chose one at random, two thirds of the
// callers in three data centres sent their requests over links that all boxes share. On one
// congested link, a request sent at 47.446 s and abandoned by its caller at 47.582 s reached its
// gateway at 48.79 s, which forwarded it to a replica within 12 ms. A gateway cannot know that
// early that the caller has left, so requests must not be queued on such a link.
BOOST_AUTO_TEST_CASE(callers_get_the_gateways_of_their_own_data_centre)
{
    AddressFixture fixture;
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.startPeers();
        const auto near = co_await fixture.waitForAddresses("z1", sGatewaysPerDataCentre);
        BOOST_TEST(near.size() == sGatewaysPerDataCentre);
        BOOST_TEST(countOf(near, "10.0.2.") == 0);
        // A gateway in another data centre gives the same answer.
        const auto far = co_await fixture.waitForAddresses("z2", sGatewaysPerDataCentre);
        BOOST_TEST(far.size() == sGatewaysPerDataCentre);
        BOOST_TEST(countOf(far, "10.0.2.") == sGatewaysPerDataCentre);
    });
}

BOOST_AUTO_TEST_CASE(callers_of_unknown_data_centres_get_all_gateways_that_are_not_leaving)
{
    AddressFixture fixture;
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.startPeers();
        fixture.others.front()->leave();
        const auto stay
            = co_await fixture.waitForAddresses("elsewhere", 2 * sGatewaysPerDataCentre - 1);
        BOOST_TEST(stay.size() == 2 * sGatewaysPerDataCentre - 1);
        BOOST_TEST(countOf(stay, "10.0.1.0:1") == 0);
    });
}

// Guards against callers that are sent to gateways outside the regions of their requests, also as
// fallbacks for the loss of local gateways.
BOOST_AUTO_TEST_CASE(callers_of_a_host_with_regions_get_gateways_of_these_and_of_their_own)
{
    AddressFixture fixture;
    fixture.others.push_back(std::make_unique<PeerGateway>(fixture, "z3", "10.0.3.0:1", "r3"));
    fixture.others.push_back(std::make_unique<PeerGateway>(fixture, "z4", "10.0.4.0:1", "r4"));
    fixture.store.write(Feed::Operators, "config", R"({"version":2,"routes":[
        {"name":"a","host":"bound","path_prefix":"/a/","allowed_regions":["r4","r5"]},
        {"name":"b","host":"bound","path_prefix":"/b/","allowed_regions":["r4"]},
        {"name":"c","host":"bound","path_prefix":"/c/"},
        {"name":"d","host":"h","path_prefix":"/d/"}]})");
    fixture.run([&]() -> awaitable<void> {
        for (const auto &other : fixture.others) {
            other->start();
        }
        const std::size_t all = 2 * sGatewaysPerDataCentre + 2;
        co_await fixture.waitForAddresses("", all);
        BOOST_TEST((co_await fixture.addressesFor("")).size() == all);
        for (const char *host : {"bound", "bound:8005"}) {
            const auto found = co_await fixture.addressesFor("", host);
            BOOST_TEST(found.size() == all - 1);
            BOOST_TEST(countOf(found, "10.0.3.") == 0U);
            BOOST_TEST(countOf(found, "10.0.4.") == 1U);
        }
        BOOST_TEST((co_await fixture.addressesFor("", "unknown")).size() == all);
    });
}
