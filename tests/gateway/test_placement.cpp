/*
 * test_placement.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "fleetgateway.h"
#include "scriptedagent.h"
#include "streamtext.h"

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

using namespace Loom;

namespace {

using Answer = ScriptedReplica::Answer;

// Regions r1 (data centre z1, which is the gateway's own) and r2 (z2); that of z3 is unknown.
const std::string sRestricted = R"(["r2"])";
const std::string sOther = R"(["r1"])";

/** A configuration whose bound routes have the list @p regions. */
std::string configText(int version, const std::string &regions)
{
    const std::string common
        = R"("host":"h","timeout_ms":8000,"goal_ms":500,"gap_aim_ms":500,"max_attempts":3)";
    const std::string bound = R"(,"allowed_regions":)" + regions;
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
        {"name":"free","path_prefix":"/free/","kind":"safe","service":"plain",)"
        + common + R"(},
        {"name":"stream","path_prefix":"/stream/","kind":"stream","service":"plain",
         "resumable":true,)"
        + common + R"(},
        {"name":"bound","path_prefix":"/bound/","kind":"safe","service":"plain",)"
        + common + bound + R"(},
        {"name":"boundstream","path_prefix":"/boundstream/","kind":"stream","service":"plain",
         "resumable":true,)"
        + common + bound + R"(},
        {"name":"boundmodel","path_prefix":"/boundmodel/","kind":"stream","service":"engine",
         "resumable":true,)"
        + common + bound + R"(}],
        "services":[{"name":"plain","max_conns":100},
        {"name":"engine","max_conns":100,"engine":{"slots":4,"step_ms":5,"read_per_s":100000,
         "stride":1,"layers":1,"usual":{"prompt":10,"answer":10},"models":[{"name":"m"}]}}],
        "tenants":[{"name":"t1","api_keys":["k"]},
        {"name":"t2","api_keys":["k2"],"allowed_regions":["r2"]},
        {"name":"t3","api_keys":["k3"],"allowed_regions":["r1"]}]})";
}

Answer answersOk(const std::string &head)
{
    return {"HTTP/1.1 200 X\r\nLoomjunction-Request-Id: " + requestIdOf(head)
            + "\r\nLoomjunction-Response-Signature: s\r\nContent-Length: 0\r\n\r\n"};
}

Answer refuses(const std::string &head)
{
    return {"HTTP/1.1 503 X\r\nLoomjunction-Request-Id: " + requestIdOf(head)
            + "\r\nLoomjunction-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
}

Answer streamsWhole(const std::string &head)
{
    return {streamHead(requestIdOf(head)) + chunk(event(1)) + chunk(event(2)) + sLastChunk};
}

Answer cutsStream(const std::string &head)
{
    return {streamHead(requestIdOf(head)) + chunk(event(1)), true};
}

class PlacementFixture : public GatewayFixture
{
public:
    PlacementFixture() { writeRegions(1, sRestricted); }

    void writeRegions(int version, const std::string &regions)
    {
        store.write(Feed::Operators, "config", configText(version, regions));
    }
    void evacuate(const std::string &dataCentre)
    {
        store.write(Feed::Operators, "evacuate/" + dataCentre, "{}");
    }

    ScriptedReplica &add(const std::string &id, const std::string &zone,
                         ScriptedReplica::Script script, const std::string &service = "plain")
    {
        mPlaced.push_back(std::make_unique<ScriptedReplica>(context, std::move(script)));
        store.write(Feed::Replicas, id,
                    R"({"service":")" + service + R"(","address":")" + mPlaced.back()->address()
                        + R"(","zone":")" + zone
                        + R"(","slots":4,"state":"ready","models":[{"name":"m","version":1}]})");
        return *mPlaced.back();
    }

    awaitable<void> waitUntilReady()
    {
        co_await waitFor([this] {
            return front().isReady() && replicas().replicas().all().size() == mPlaced.size();
        });
    }
    bool isEvacuated(std::string_view dataCentre)
    {
        return replicas().replicas().placement().isEvacuated(dataCentre);
    }
    bool hasVersion(std::uint64_t version) { return config().table()->version() == version; }

    /** Returns the status of a call; 0 if its answer was cut off. */
    awaitable<int> statusOf(std::string path, std::string key = "k")
    {
        const std::string id = "id" + std::to_string(++mCallCount);
        const auto response = co_await call("POST", std::move(path), id, std::move(key));
        lastBody = response ? response->body : "";
        co_return response ? response->status : 0;
    }

    std::string lastBody;

private:
    std::vector<std::unique_ptr<ScriptedReplica>> mPlaced;
    int mCallCount = 0;
};

} // namespace

// Guards against requests that leave their regions, by the route's list, the account's, or both.
BOOST_AUTO_TEST_CASE(requests_are_sent_in_the_regions_of_their_route_and_account_only)
{
    PlacementFixture fixture;
    ScriptedReplica &near = fixture.add("near", "z1", answersOk);
    ScriptedReplica &far = fixture.add("far", "z2", answersOk);
    ScriptedReplica &unknown = fixture.add("unknown", "z3", answersOk);
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        for (int i = 0; i < 10; ++i) {
            BOOST_TEST(co_await fixture.statusOf("/bound/a") == 200);
            BOOST_TEST(co_await fixture.statusOf("/free/a", "k2") == 200);
            BOOST_TEST(co_await fixture.statusOf("/bound/a", "k2") == 200);
        }
        BOOST_TEST(near.requests() == 0);
        BOOST_TEST(unknown.requests() == 0);
        BOOST_TEST(far.requests() == 30);
        BOOST_TEST(co_await fixture.statusOf("/free/a", "k3") == 200);
        BOOST_TEST(near.requests() == 1);
        // The lists of this route and this account have no region in common.
        BOOST_TEST(co_await fixture.statusOf("/bound/a", "k3") == 503);
        BOOST_TEST(fixture.lastBody.find("no region may serve") != std::string::npos);
        BOOST_TEST(fixture.metrics().counter("region_refusals", "plain") == 1U);
    });
}

BOOST_AUTO_TEST_CASE(request_whose_regions_have_no_usable_replica_is_refused_at_once)
{
    PlacementFixture fixture;
    ScriptedReplica &near = fixture.add("near", "z1", answersOk);
    fixture.add("model", "z1", streamsWhole, "engine");
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        for (const char *path : {"/bound/a", "/boundmodel/a"}) {
            BOOST_TEST(co_await fixture.statusOf(path) == 503);
            BOOST_TEST(fixture.lastBody.find("allowed region") != std::string::npos);
        }
        BOOST_TEST(near.requests() == 0);
        BOOST_TEST(fixture.metrics().counter("region_refusals", "plain") == 1U);
        BOOST_TEST(fixture.metrics().counter("region_refusals", "engine") == 1U);
    });
}

// Guards against a second send that forgets the regions, after a refusal and after a cut stream.
BOOST_AUTO_TEST_CASE(second_sends_and_resumed_streams_stay_in_the_allowed_region)
{
    PlacementFixture fixture;
    ScriptedReplica &near = fixture.add("near", "z1", streamsWhole);
    int streams = 0;
    const auto script = [&](const std::string &head) {
        if (head.starts_with("POST /bound/")) {
            return refuses(head);
        }
        return ++streams % 2 == 1 ? cutsStream(head) : streamsWhole(head);
    };
    ScriptedReplica &first = fixture.add("far1", "z2", script);
    ScriptedReplica &second = fixture.add("far2", "z2", script);
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        BOOST_TEST(co_await fixture.statusOf("/boundstream/a") == 200);
        BOOST_TEST(fixture.lastBody == event(1) + event(2));
        BOOST_TEST(first.requests() == 1);
        BOOST_TEST(second.requests() == 1);
        // Until the replica that cut the stream off is used again.
        co_await fixture.waitFor([&] {
            return std::ranges::all_of(fixture.replicas().replicas().all(), [](const auto &item) {
                return item.second.avoidedUntil <= now();
            });
        });
        BOOST_TEST(co_await fixture.statusOf("/bound/a") == 503);
        BOOST_TEST(first.requests() + second.requests() == 4);
        BOOST_TEST(near.requests() == 0);
    });
}

// Guards against a stream that is resumed outside its regions when these have no other replica.
BOOST_AUTO_TEST_CASE(stream_without_another_replica_in_its_region_is_cut_off)
{
    PlacementFixture fixture;
    ScriptedReplica &near = fixture.add("near", "z1", streamsWhole);
    fixture.add("far", "z2", cutsStream);
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        BOOST_TEST(co_await fixture.statusOf("/boundstream/a") == 0);
        BOOST_TEST(near.requests() == 0);
    });
}

// Guards against a hedge outside the allowed regions.
BOOST_AUTO_TEST_CASE(hedge_of_a_silent_stream_stays_in_the_allowed_region)
{
    PlacementFixture fixture;
    ScriptedReplica &near = fixture.add("near", "z1", streamsWhole);
    const Instant startedAt = now();
    bool isOver = false;
    fixture.add("far", "z2", [&](const std::string &head) -> Answer {
        // Silent for longer than the time after which a hedge begins.
        return {streamHead(requestIdOf(head)) + chunk(event(1)), false,
                [&] { return !isOver && now() < startedAt + Milliseconds(8'000); },
                chunk(event(2)) + sLastChunk};
    });
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        asio::co_spawn(
            fixture.context,
            [&]() -> awaitable<void> {
                co_await fixture.waitFor(
                    [&] { return fixture.metrics().counter("standby_tries", "none found") > 0; });
                isOver = true;
            },
            asio::detached);
        BOOST_TEST(co_await fixture.statusOf("/boundstream/a") == 200);
        BOOST_TEST(fixture.lastBody == event(1) + event(2));
        BOOST_TEST(isOver);
        BOOST_TEST(near.requests() == 0);
    });
}

// Guards against requests that keep the regions of the configuration of their arrival, and against
// streams that a new configuration ends.
BOOST_AUTO_TEST_CASE(configuration_that_takes_a_region_away_binds_the_next_send)
{
    PlacementFixture fixture;
    ScriptedReplica &near = fixture.add("near", "z1", answersOk);
    const auto isBefore = [&] { return !fixture.hasVersion(2); };
    const auto script = [&](const std::string &head) -> Answer {
        if (head.starts_with("POST /bound/")) {
            return {"", true, isBefore};
        }
        return {streamHead(requestIdOf(head)) + chunk(event(1)), false, isBefore,
                chunk(event(2)) + sLastChunk};
    };
    ScriptedReplica &first = fixture.add("far1", "z2", script);
    ScriptedReplica &second = fixture.add("far2", "z2", script);
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        bool isStreamWhole = false;
        asio::co_spawn(
            fixture.context,
            [&]() -> awaitable<void> {
                const auto response = co_await fixture.call("POST", "/boundstream/a", "stream");
                isStreamWhole = response && response->body == event(1) + event(2);
            },
            asio::detached);
        asio::co_spawn(
            fixture.context,
            [&]() -> awaitable<void> {
                co_await fixture.waitFor([&] { return first.requests() + second.requests() == 2; });
                fixture.writeRegions(2, sOther);
            },
            asio::detached);
        BOOST_TEST(co_await fixture.statusOf("/bound/a") == 200);
        BOOST_TEST(near.requests() == 1);
        BOOST_TEST(first.requests() + second.requests() == 2);
        co_await fixture.waitFor([&] { return isStreamWhole; });
    });
}

// Guards against a send by a choice that was begun before the configuration took the region away.
BOOST_AUTO_TEST_CASE(configuration_that_comes_between_choice_and_send_binds_the_send)
{
    PlacementFixture fixture;
    ScriptedReplica &far = fixture.add("far", "z2", streamsWhole, "engine");
    ScriptedAgent agent(fixture, far);
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        co_await fixture.waitFor([&] { return agent.queryCount > 0; });
        BOOST_TEST(co_await fixture.statusOf("/boundmodel/a") == 200);
        agent.delay = std::chrono::milliseconds(40);
        asio::co_spawn(
            fixture.context,
            [&]() -> awaitable<void> {
                co_await fixture.waitFor([&] { return fixture.front().inFlight() == 1; });
                fixture.writeRegions(2, sOther);
            },
            asio::detached);
        BOOST_TEST(co_await fixture.statusOf("/boundmodel/a") == 503);
        BOOST_TEST(far.requests() == 1);
    });
}

// Guards against a list that is ignored where it cannot be read.
BOOST_AUTO_TEST_CASE(unreadable_list_of_regions_leaves_the_last_configuration_in_force)
{
    PlacementFixture fixture;
    ScriptedReplica &near = fixture.add("near", "z1", answersOk);
    fixture.add("far", "z2", answersOk);
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        fixture.writeRegions(2, R"("r1")");
        fixture.evacuate("z9");
        co_await fixture.waitFor([&] { return fixture.isEvacuated("z9"); });
        BOOST_TEST(fixture.hasVersion(1));
        BOOST_TEST(co_await fixture.statusOf("/bound/a") == 200);
        BOOST_TEST(near.requests() == 0);
    });
}

// Guards against requests to an evacuated data centre, and against streams that it ends.
BOOST_AUTO_TEST_CASE(evacuated_data_centre_gets_nothing_while_its_streams_end_whole)
{
    PlacementFixture fixture;
    ScriptedReplica &near = fixture.add("near", "z1", answersOk);
    ScriptedReplica &far = fixture.add("far", "z2", [&](const std::string &head) -> Answer {
        if (!head.starts_with("POST /boundstream/")) {
            return answersOk(head);
        }
        return {streamHead(requestIdOf(head)) + chunk(event(1)), false,
                [&] { return !fixture.isEvacuated("z2"); }, chunk(event(2)) + sLastChunk};
    });
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        bool isStreamWhole = false;
        asio::co_spawn(
            fixture.context,
            [&]() -> awaitable<void> {
                const auto response = co_await fixture.call("POST", "/boundstream/a", "stream");
                isStreamWhole = response && response->body == event(1) + event(2);
            },
            asio::detached);
        co_await fixture.waitFor([&] { return far.requests() == 1; });
        fixture.evacuate("z2");
        co_await fixture.waitFor([&] { return fixture.isEvacuated("z2"); });
        co_await fixture.waitFor([&] { return isStreamWhole; });
        for (int i = 0; i < 20; ++i) {
            BOOST_TEST(co_await fixture.statusOf("/free/a") == 200);
        }
        BOOST_TEST(co_await fixture.statusOf("/bound/a") == 503);
        BOOST_TEST(far.requests() == 1);
        BOOST_TEST(near.requests() == 20);
        fixture.store.write(Feed::Operators, "evacuate/z2", std::nullopt);
        co_await fixture.waitFor([&] { return !fixture.isEvacuated("z2"); });
        BOOST_TEST(co_await fixture.statusOf("/bound/a") == 200);
        BOOST_TEST(far.requests() == 2);
    });
}

// Guards against a stream that is resumed in an evacuated data centre.
BOOST_AUTO_TEST_CASE(stream_is_not_resumed_in_an_evacuated_data_centre)
{
    PlacementFixture fixture;
    ScriptedReplica &near = fixture.add("near", "z1", [&](const std::string &head) -> Answer {
        return {streamHead(requestIdOf(head)) + chunk(event(1)), true,
                [&] { return !fixture.isEvacuated("z2"); }};
    });
    ScriptedReplica *far = nullptr;
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        asio::co_spawn(
            fixture.context,
            [&]() -> awaitable<void> {
                co_await fixture.waitFor([&] { return near.requests() == 1; });
                far = &fixture.add("far", "z2", streamsWhole);
                co_await fixture.waitUntilReady();
                fixture.evacuate("z2");
            },
            asio::detached);
        BOOST_TEST(co_await fixture.statusOf("/stream/a") == 0);
        BOOST_TEST(near.requests() == 1);
        BOOST_REQUIRE(far != nullptr);
        BOOST_TEST(far->requests() == 0);
    });
}

// Guards against a send by a choice from before the evacuation: obtaining a connection took long.
BOOST_AUTO_TEST_CASE(evacuation_between_choice_and_send_holds_the_request_back)
{
    PlacementFixture fixture;
    ScriptedReplica &far = fixture.add("far", "z2", answersOk);
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        bool isEvacuated = false;
        asio::co_spawn(
            fixture.context,
            [&]() -> awaitable<void> {
                ReplicaSet &set = fixture.replicas().replicas();
                // The attempt exists as soon as the choice is made, and is connecting then.
                while (set.find("far")->inFlight == 0) {
                    co_await asio::post(fixture.context, asio::use_awaitable);
                }
                set.setEvacuated("z2", true);
                isEvacuated = true;
            },
            asio::detached);
        BOOST_TEST(co_await fixture.statusOf("/bound/a") == 503);
        BOOST_TEST(isEvacuated);
        BOOST_TEST(far.requests() == 0);
        BOOST_TEST(fixture.metrics().counter("sends_held_back", "evacuated") == 1U);
    });
}

// Guards against a gateway that is ready before it knows of an evacuation, also when it learns of
// it from another gateway alone.
BOOST_AUTO_TEST_CASE(gateway_that_starts_during_an_evacuation_sends_nothing_there)
{
    asio::io_context context{1};
    MemoryStore store(context.get_executor());
    store.write(Feed::Operators, "config", configText(1, sRestricted));
    store.write(Feed::Replicas, "far",
                R"({"service":"plain","address":"127.0.0.1:1","zone":"z2","slots":4,
                    "state":"ready","models":[]})");
    store.write(Feed::Operators, "evacuate/z2", "{}");
    FleetGateway first(context, store, "g1");
    FleetGateway second(context, store, "g2");
    const auto isEvacuated = [](FleetGateway &gateway) {
        return gateway.replicas().replicas().placement().isEvacuated("z2");
    };
    const auto waitUntilReady = [](FleetGateway &gateway) -> awaitable<void> {
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!gateway.isReady(0, 0)) {
            BOOST_REQUIRE(std::chrono::steady_clock::now() < until);
            co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
        }
    };
    asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
            first.start();
            co_await waitUntilReady(first);
            BOOST_TEST(isEvacuated(first));
            second.start();
            co_await waitUntilReady(second);
            BOOST_TEST(isEvacuated(second));
            first.kill();
            second.kill();
            context.stop();
        },
        asio::detached);
    context.run();
}

// Guards against a known evacuation that ends when the gateway is cut off from the store, or when
// the store returns from a copy that lacks it.
BOOST_AUTO_TEST_CASE(evacuation_that_the_store_lost_ends_unless_it_is_written_again)
{
    PlacementFixture fixture;
    fixture.add("far", "z2", answersOk);
    fixture.store.copy();
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        fixture.evacuate("z2");
        fixture.evacuate("z4");
        co_await fixture.waitFor([&] { return fixture.isEvacuated("z4"); });
        fixture.store.isUnreachable = true;
        fixture.store.restore();
        co_await fixture.waitFor([&] { return !fixture.feeds().isStoreReached(Feed::Operators); });
        BOOST_TEST(fixture.isEvacuated("z2"));
        const auto isMissing = [&](const char *key) {
            return fixture.feeds().table(Feed::Operators).missing().contains(key);
        };
        fixture.store.isUnreachable = false;
        co_await fixture.waitFor([&] { return isMissing("evacuate/z2"); });
        const Instant noticedAt = now();
        BOOST_TEST(fixture.isEvacuated("z2"));
        fixture.evacuate("z2");
        co_await fixture.waitFor([&] { return !isMissing("evacuate/z2"); });
        co_await fixture.waitFor([&] { return !fixture.isEvacuated("z4"); });
        BOOST_TEST((now() - noticedAt >= Milliseconds(5'000)));
        BOOST_TEST(fixture.isEvacuated("z2"));
        BOOST_TEST(co_await fixture.statusOf("/bound/a") == 503);
        // Written late, it is in force again.
        fixture.evacuate("z4");
        co_await fixture.waitFor([&] { return fixture.isEvacuated("z4"); });
    });
}

// A copy that holds a revoked evacuation orders it again, until its removal is written again.
BOOST_AUTO_TEST_CASE(evacuation_that_the_copy_revives_is_in_force_until_it_is_removed_again)
{
    PlacementFixture fixture;
    fixture.evacuate("z2");
    fixture.store.copy();
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        fixture.store.write(Feed::Operators, "evacuate/z2", std::nullopt);
        co_await fixture.waitFor([&] { return !fixture.isEvacuated("z2"); });
        fixture.store.restore();
        co_await fixture.waitFor([&] { return fixture.isEvacuated("z2"); });
        fixture.store.write(Feed::Operators, "evacuate/z2", std::nullopt);
        co_await fixture.waitFor([&] { return !fixture.isEvacuated("z2"); });
    });
}

// Guards against a typing error that evacuates anything, or that ends an evacuation.
BOOST_AUTO_TEST_CASE(unreadable_evacuations_have_no_effect)
{
    PlacementFixture fixture;
    fixture.add("near", "z1", answersOk);
    ScriptedReplica &far = fixture.add("far", "z2", answersOk);
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitUntilReady();
        fixture.store.write(Feed::Operators, "evacuate/", "{}");
        fixture.store.write(Feed::Operators, "evacuate/z2", R"("yes")");
        fixture.evacuate("nowhere");
        co_await fixture.waitFor([&] { return fixture.isEvacuated("nowhere"); });
        BOOST_TEST(fixture.replicas().replicas().placement().evacuatedCount() == 1U);
        BOOST_TEST(co_await fixture.statusOf("/bound/a") == 200);
        BOOST_TEST(far.requests() == 1);
        fixture.store.write(Feed::Operators, "evacuate/nowhere", "no");
        fixture.evacuate("z2");
        co_await fixture.waitFor([&] { return fixture.isEvacuated("z2"); });
        BOOST_TEST(fixture.isEvacuated("nowhere"));
    });
}
