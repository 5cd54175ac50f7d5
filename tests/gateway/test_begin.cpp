/*
 * test_begin.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "clock.h"
#include "gatewayfixture.h"
#include "memberplan.h"
#include "peerserver.h"

#include <algorithm>
#include <ranges>

#include <boost/json.hpp>

using namespace Loom;

namespace {

constexpr std::chrono::seconds sTestTimeout{20};
constexpr int sDataCentres = 2;
// Each member has its own loopback address, so that no outgoing connection can take its port
// before it listens.
constexpr int sFirstHostNumber = 10;

Tcp::endpoint unusedEndpoint(asio::io_context &context, int index)
{
    const auto host
        = asio::ip::make_address_v4("127.0.77." + std::to_string(sFirstHostNumber + index));
    const Tcp::acceptor acceptor(context, Tcp::endpoint(host, 0));
    return acceptor.local_endpoint();
}

/** One of several processes that share a store. */
class TestMember
{
public:
    TestMember(asio::io_context &context, MemoryStore &store, MemberSettings settings)
        : settings(std::move(settings))
        , mStore(store)
        , mKernel(context.get_executor())
    {
    }

    std::string key() const { return endpointText(settings.peers); }

    /** Writes a membership record to the store, as an earlier incarnation did. */
    void writeRecord()
    {
        boost::json::object value;
        value["box"] = settings.box;
        value["dataCentre"] = settings.dataCentre;
        value["peers"] = key();
        value["incarnation"] = 1;
        value["role"] = settings.isGateway() ? "gateway" : "stager";
        mStore.write(Feed::Members, key(), boost::json::serialize(value));
    }

    void start()
    {
        const auto preference
            = settings.isGateway() ? FeedPreference::Store : FeedPreference::Peers;
        mKernel.add(std::make_unique<PeerHub>(settings.peers));
        mKernel.add(std::make_unique<FeedService>(mStore, settings.box, preference));
        mKernel.add(std::make_unique<MemberService>(mStore, settings, 2));
        isStarted = true;
        BOOST_REQUIRE(mKernel.start().has_value());
    }

    void stop() { mKernel.stop(); }

    bool hasRecord(Feed feed, std::string_view key)
    {
        return mKernel.find<FeedService>(FeedService::sName).table(feed).find(key) != nullptr;
    }

    MemberSettings settings;
    bool isStarted = false;

private:
    MemoryStore &mStore;
    Kernel mKernel;
};

/** Gateways and stagers of several data centres that all start at the same time. */
class ColdStartFixture
{
public:
    ColdStartFixture(int gateways, int stagers)
    {
        store.fullReadDuration = Milliseconds(200);
        for (int index = 0; index < gateways + stagers; ++index) {
            add(index, index < gateways);
        }
        for (const auto &member : members) {
            member->writeRecord();
            if (!member->settings.isGateway()) {
                member->settings.seeds = {members.front()->settings.peers};
            }
        }
        store.write(Feed::Operators, "config", "value");
        store.write(Feed::Replicas, "replica", "value");
    }

    /** The first gateway in the order of readers for @p dataCentre. */
    TestMember &firstReader(const std::string &dataCentre)
    {
        std::vector<MemberLocation> locations;
        for (const auto &member : members) {
            locations.push_back(
                {member->key(), member->settings.dataCentre, member->settings.isGateway()});
        }
        const MemberPlan plan({"", dataCentre, true}, locations);
        for (const std::string &key : plan.readerOrder(ReaderScope::DataCentre)) {
            const auto found = std::ranges::find_if(
                members, [&](const auto &member) { return member->key() == key; });
            if (found != members.end()) {
                return **found;
            }
        }
        return *members.front();
    }

    /** Starts all members but @p missing and waits until each has received its records. */
    void run(const TestMember *missing = nullptr)
    {
        bool allStarted = false;
        const auto runMembers = [&]() -> awaitable<void> {
            for (const auto &member : members) {
                if (member.get() != missing) {
                    member->start();
                }
            }
            const auto deadline = std::chrono::steady_clock::now() + sTestTimeout;
            while (!hasReceivedAll() && std::chrono::steady_clock::now() < deadline) {
                co_await sleepFor(std::chrono::milliseconds(5));
            }
            allStarted = hasReceivedAll();
            stop();
            context.stop();
        };
        asio::co_spawn(context, runMembers(), asio::detached);
        context.run();
        BOOST_TEST(allStarted);
    }

    int fullReadCountByFeed(Feed feed) const
    {
        return store.fullReadCountByFeed[static_cast<std::size_t>(feed)];
    }

    asio::io_context context{1};
    MemoryStore store{context.get_executor()};
    std::vector<std::unique_ptr<TestMember>> members;

private:
    void add(int index, bool isGateway)
    {
        MemberSettings settings;
        settings.box = "box-" + std::to_string(index);
        settings.dataCentre = "z" + std::to_string(index % sDataCentres);
        settings.peers = unusedEndpoint(context, index);
        if (isGateway) {
            settings.role = GatewaySettings{};
        } else {
            settings.role = StagerSettings{"service", Tcp::endpoint(), 0};
        }
        members.push_back(std::make_unique<TestMember>(context, store, std::move(settings)));
    }

    bool hasReceivedAll()
    {
        return std::ranges::all_of(members, [](const auto &member) {
            return !member->isStarted
                || (member->hasRecord(Feed::Operators, "config")
                    && (!member->settings.isGateway()
                        || member->hasRecord(Feed::Replicas, "replica")));
        });
    }

    void stop()
    {
        for (const auto &member : members) {
            if (member->isStarted) {
                member->stop();
            }
        }
    }
};

} // namespace

// After a power failure of all data centres each gateway and stager read the complete operators'
// feed from the store: 26 reads of 417 KB. 4.2 MB of them went to one data centre within two
// seconds over a link of 3.4 MB/s and delayed callers' requests by 1.35 s.
BOOST_AUTO_TEST_CASE(members_starting_together_read_a_large_feed_once_per_data_centre)
{
    ColdStartFixture lab(8, 6);
    lab.run();
    BOOST_TEST(lab.fullReadCountByFeed(Feed::Operators) == sDataCentres);
    BOOST_TEST(lab.fullReadCountByFeed(Feed::Replicas) == sDataCentres);
}

BOOST_AUTO_TEST_CASE(startup_completes_without_the_first_reader)
{
    ColdStartFixture lab(8, 6);
    lab.run(&lab.firstReader("z0"));
    // The next gateway in the order of readers reads the store for the others.
    BOOST_TEST(lab.fullReadCountByFeed(Feed::Operators) < static_cast<int>(lab.members.size()) / 2);
}

// Agents whose only seed was unreachable read the members' feed from the store at the end of the
// startup period, and then the large feed as well, all at once: six full reads in the same
// millisecond.
BOOST_AUTO_TEST_CASE(agents_with_unreachable_seeds_start_from_gateways)
{
    ColdStartFixture lab(8, 6);
    constexpr int unusedIndex = 100;
    for (const auto &member : lab.members) {
        if (!member->settings.isGateway()) {
            member->settings.seeds = {unusedEndpoint(lab.context, unusedIndex)};
        }
    }
    lab.run();
    BOOST_TEST(lab.fullReadCountByFeed(Feed::Operators) == sDataCentres);
}

BOOST_AUTO_TEST_CASE(startup_completes_with_an_unresponsive_first_reader)
{
    ColdStartFixture lab(8, 6);
    TestMember &unresponsive = lab.firstReader("z1");
    std::vector<PeerStreamPtr> streams;
    PeerServer server(lab.context.get_executor(), [&](PeerStreamPtr stream) -> awaitable<void> {
        streams.push_back(std::move(stream));
        co_return;
    });
    BOOST_REQUIRE(server.listen(unresponsive.settings.peers).has_value());
    lab.run(&unresponsive);
    server.stopListening();
}

// Agents that started before the box of their first seed was up read the complete members' feed
// from the store: 105 of 111 agents did so within half a second, over the same links.
BOOST_AUTO_TEST_CASE(starting_agents_read_the_member_feed_from_gateways)
{
    ColdStartFixture lab(8, 6);
    constexpr int unusedIndex = 100;
    for (const auto &member : lab.members) {
        if (!member->settings.isGateway()) {
            member->settings.seeds
                = {unusedEndpoint(lab.context, unusedIndex), lab.members.front()->settings.peers};
        }
    }
    lab.run();
    BOOST_TEST(lab.fullReadCountByFeed(Feed::Members) == 8);
}

BOOST_AUTO_TEST_CASE(each_of_few_starting_gateways_reads_the_store)
{
    ColdStartFixture lab(2, 0);
    lab.run();
    BOOST_TEST(lab.fullReadCountByFeed(Feed::Operators) == 2);
}
