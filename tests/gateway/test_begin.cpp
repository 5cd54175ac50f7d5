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

constexpr std::chrono::seconds sGenerous{20};
constexpr int sDataCentres = 2;
// Each on a loopback address of its own: no outgoing connection takes its port meanwhile.
constexpr int sFirstHost = 10;

Tcp::endpoint endpointOf(asio::io_context &context, int index)
{
    const auto host = asio::ip::make_address_v4("127.0.77." + std::to_string(sFirstHost + index));
    const Tcp::acceptor acceptor(context, Tcp::endpoint(host, 0));
    return acceptor.local_endpoint();
}

/** One process of a fleet over a store that all share. */
class FleetMember
{
public:
    FleetMember(asio::io_context &context, MemoryStore &store, DirectSettings settings)
        : settings(std::move(settings))
        , mStore(store)
        , mKernel(context.get_executor())
    {
    }

    std::string key() const { return endpointText(settings.peers); }

    /** As it was put there by an earlier life. */
    void record()
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

    bool knows(Feed feed, std::string_view key)
    {
        return mKernel.find<FeedService>(FeedService::sName).table(feed).find(key) != nullptr;
    }

    DirectSettings settings;
    bool isStarted = false;

private:
    MemoryStore &mStore;
    Kernel mKernel;
};

/** Gateways and stagers of some data centres that all begin together. */
class FleetLab
{
public:
    FleetLab(int gateways, int stagers)
    {
        store.fullReadDuration = Milliseconds(200);
        for (int index = 0; index < gateways + stagers; ++index) {
            add(index, index < gateways);
        }
        for (const auto &member : members) {
            member->record();
            if (!member->settings.isGateway()) {
                member->settings.seeds = {members.front()->settings.peers};
            }
        }
        store.write(Feed::Operators, "config", "value");
        store.write(Feed::Replicas, "replica", "value");
    }

    /** Who reads for its data centre by plan. */
    FleetMember &firstReader(const std::string &dataCentre)
    {
        std::vector<MemberLocation> places;
        for (const auto &member : members) {
            places.push_back(
                {member->key(), member->settings.dataCentre, member->settings.isGateway()});
        }
        const MemberPlan plan({"", dataCentre, true}, places);
        for (const std::string &key : plan.readerOrder(ReaderScope::DataCentre)) {
            const auto found = std::ranges::find_if(
                members, [&](const auto &member) { return member->key() == key; });
            if (found != members.end()) {
                return **found;
            }
        }
        return *members.front();
    }

    /** Starts all but @p missing and waits until they know all there is. */
    void run(const FleetMember *missing = nullptr)
    {
        bool ended = false;
        const auto whole = [&]() -> awaitable<void> {
            for (const auto &member : members) {
                if (member.get() != missing) {
                    member->start();
                }
            }
            const auto until = std::chrono::steady_clock::now() + sGenerous;
            while (!allKnow() && std::chrono::steady_clock::now() < until) {
                co_await sleepFor(std::chrono::milliseconds(5));
            }
            ended = allKnow();
            stop();
            context.stop();
        };
        asio::co_spawn(context, whole(), asio::detached);
        context.run();
        BOOST_TEST(ended);
    }

    int fullReadCountByFeed(Feed feed) const
    {
        return store.fullReadCountByFeed[static_cast<std::size_t>(feed)];
    }

    asio::io_context context{1};
    MemoryStore store{context.get_executor()};
    std::vector<std::unique_ptr<FleetMember>> members;

private:
    void add(int index, bool isGateway)
    {
        DirectSettings settings;
        settings.box = "box-" + std::to_string(index);
        settings.dataCentre = "z" + std::to_string(index % sDataCentres);
        settings.peers = endpointOf(context, index);
        if (isGateway) {
            settings.role = GatewaySettings{};
        } else {
            settings.role = StagerSettings{"service", Tcp::endpoint(), 0};
        }
        members.push_back(std::make_unique<FleetMember>(context, store, std::move(settings)));
    }

    bool allKnow()
    {
        return std::ranges::all_of(members, [](const auto &member) {
            return !member->isStarted
                || (member->knows(Feed::Operators, "config")
                    && (!member->settings.isGateway() || member->knows(Feed::Replicas, "replica")));
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

// After a loss of power everywhere every gateway and stager read the operators' feed in
// full for itself: 26 reads of 417 KB, 4.2 MB of them to one data centre in two seconds
// over a link of 3.4 MB a second, and callers' requests waited 1.35 s behind them.
BOOST_AUTO_TEST_CASE(many_that_begin_together_read_a_large_feed_once_for_each_data_centre)
{
    FleetLab lab(8, 6);
    lab.run();
    BOOST_TEST(lab.fullReadCountByFeed(Feed::Operators) == sDataCentres);
    BOOST_TEST(lab.fullReadCountByFeed(Feed::Replicas) == sDataCentres);
}

BOOST_AUTO_TEST_CASE(a_begin_without_its_first_reader_ends_well)
{
    FleetLab lab(8, 6);
    lab.run(&lab.firstReader("z0"));
    // The next in turn reads for the others.
    BOOST_TEST(lab.fullReadCountByFeed(Feed::Operators) < static_cast<int>(lab.members.size()) / 2);
}

// An agent knew one seed, which was not there. The members' feed came from the store at
// the end of the time to begin, and so did the large feed, at all agents at once: six
// full reads in the same millisecond.
BOOST_AUTO_TEST_CASE(agents_whose_seeds_are_gone_still_begin_with_gateways)
{
    FleetLab lab(8, 6);
    constexpr int beyondAll = 100;
    for (const auto &member : lab.members) {
        if (!member->settings.isGateway()) {
            member->settings.seeds = {endpointOf(lab.context, beyondAll)};
        }
    }
    lab.run();
    BOOST_TEST(lab.fullReadCountByFeed(Feed::Operators) == sDataCentres);
}

BOOST_AUTO_TEST_CASE(a_begin_with_a_first_reader_that_stands_still_ends_well)
{
    FleetLab lab(8, 6);
    FleetMember &silent = lab.firstReader("z1");
    std::vector<PeerStreamPtr> kept;
    PeerServer server(lab.context.get_executor(), [&](PeerStreamPtr stream) -> awaitable<void> {
        kept.push_back(std::move(stream));
        co_return;
    });
    BOOST_REQUIRE(server.listen(silent.settings.peers).has_value());
    lab.run(&silent);
    server.stopListening();
}

// Agents begin while the box of the gateway that they ask first is not there yet. Each then
// read the members' feed in full: 105 of 111 agents in half a second, over the same links.
BOOST_AUTO_TEST_CASE(agents_that_begin_learn_the_members_from_gateways)
{
    FleetLab lab(8, 6);
    constexpr int beyondAll = 100;
    for (const auto &member : lab.members) {
        if (!member->settings.isGateway()) {
            member->settings.seeds
                = {endpointOf(lab.context, beyondAll), lab.members.front()->settings.peers};
        }
    }
    lab.run();
    BOOST_TEST(lab.fullReadCountByFeed(Feed::Members) == 8);
}

BOOST_AUTO_TEST_CASE(few_gateways_that_begin_each_read_for_themselves)
{
    FleetLab lab(2, 0);
    lab.run();
    BOOST_TEST(lab.fullReadCountByFeed(Feed::Operators) == 2);
}
