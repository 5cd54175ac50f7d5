/*
 * test_weightages.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#define BOOST_TEST_MODULE weightages
#include <boost/test/unit_test.hpp>

#include "feedprocess.h"
#include "fleetgateway.h"
#include "gatewayfixture.h"
#include "runtest.h"
#include "scriptedagent.h"
#include "streamtext.h"
#include "versiontimeexchange.h"
#include "versiontimerecord.h"
#include "versiontimerecorder.h"

using namespace Loom;

namespace {

ScriptedReplica::Answer streamsOneEvent(const std::string &head)
{
    return {streamHead(requestIdOf(head)) + chunk(event(1)) + "0\r\n\r\n", false};
}

std::string namedWeights(std::uint64_t version)
{
    return R"({"model":"m","version":)" + std::to_string(version) + "}";
}

const BoxBoot sBoot{"boot 1", WallMilliseconds(5'000)};

awaitable<void> waitUntilReady(GatewayFixture &fixture, std::size_t replicas)
{
    co_await fixture.waitFor([&fixture, replicas] {
        return fixture.front().isReady() && fixture.replicas().replicas().all().size() == replicas;
    });
}

/** The part of a process that learns of versions, with a store that others read, too. */
class VersionProcess
{
public:
    VersionProcess(asio::io_context &context, MemoryStore &store, std::string box,
                   std::optional<Tcp::endpoint> peers = std::nullopt, std::string bootId = "boot 1")
        : mSettings(settings(context, std::move(box), peers))
        , mKernel(context.get_executor())
    {
        mKernel.add(std::make_unique<PeerHub>(mSettings.peers));
        mKernel.add(std::make_unique<FeedService>(store, mSettings.box, FeedPreference::Store));
        mKernel.add(std::make_unique<MemberService>(store, mSettings, 1));
        mKernel.add(std::make_unique<OperatorConfigService>(mRecords, mSettings.bounds));
        mKernel.add(std::make_unique<VersionTimeExchange>(mSettings.dataCentre));
        mKernel.add(
            std::make_unique<VersionTimeRecorder>(store, mSettings.dataCentre, std::move(bootId)));
        BOOST_REQUIRE(mKernel.start().has_value());
    }
    void kill() { mKernel.stop(); }
    Tcp::endpoint peers() const { return mSettings.peers; }
    std::string recordKey() const
    {
        return std::string(sVersionTimeKeys) + endpointText(mSettings.peers);
    }

    const WeightVersionTracker &weights()
    {
        return mKernel.find<OperatorConfigService>(OperatorConfigService::sName).weights();
    }
    /** Earliest time at which @p version was superseded; nothing if that is unknown. */
    std::optional<Instant> earliest(std::uint64_t version)
    {
        const auto superseded = weights().supersededAt("m", version);
        return superseded ? superseded->earliest() : std::nullopt;
    }
    std::size_t otherCount()
    {
        return mKernel.find<MemberService>(MemberService::sName).others().size();
    }

private:
    static MemberSettings settings(asio::io_context &context, std::string box,
                                   std::optional<Tcp::endpoint> peers)
    {
        const Tcp::endpoint anyPort(asio::ip::address_v4::loopback(), 0);
        MemberSettings settings;
        settings.box = std::move(box);
        settings.dataCentre = "z1";
        settings.region = "r1";
        settings.peers = peers.value_or(freeEndpoint(context));
        settings.store = anyPort;
        settings.role = GatewaySettings{anyPort, anyPort, anyPort};
        return settings;
    }

    MemberSettings mSettings;
    Platform::RecordDecoder mRecords;
    Kernel mKernel;
};

awaitable<void> waitUntil(std::function<bool()> condition)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
        BOOST_REQUIRE(std::chrono::steady_clock::now() < deadline);
        co_await sleepFor(std::chrono::milliseconds(5));
    }
}

/** Names versions 1 and 2; returns the times between which @p process received the latter. */
awaitable<std::pair<Instant, Instant>> supersedeFirstVersion(MemoryStore &store,
                                                             VersionProcess &process)
{
    store.write(Feed::Operators, "version/m", namedWeights(1));
    co_await waitUntil([&] { return process.weights().find("m") != nullptr; });
    const Instant namedAfter = now();
    store.write(Feed::Operators, "version/m", namedWeights(2));
    co_await waitUntil([&] { return process.weights().newest("m") == 2; });
    co_return std::pair(namedAfter, now());
}

} // namespace

// Guards against requests that begin on weights whose time had been over for long when the gateway
// started: 32 of them, within 0.2 s of a start of all gateways.
BOOST_AUTO_TEST_CASE(gateway_that_starts_sends_nothing_to_older_weights_of_unknown_age)
{
    GatewayFixture fixture;
    fixture.writeConfig(1);
    fixture.store.write(Feed::Operators, "version/m", namedWeights(2));
    const ScriptedReplica &older = fixture.addReplica("i-1", "engine", streamsOneEvent);
    const ScriptedAgent agent(fixture, older);
    fixture.run([&]() -> awaitable<void> {
        co_await waitUntilReady(fixture, 1);
        for (int call = 0; call < 5; ++call) {
            const auto response
                = co_await fixture.call("POST", "/model/a", "id" + std::to_string(call));
            BOOST_REQUIRE(response);
            BOOST_TEST(response->status == 503);
        }
        BOOST_TEST(older.requests() == 0);
        BOOST_TEST(fixture.metrics().counter("weights_refusals", "m") == 5U);
    });
}

// Guards against older weights that are allowed for too long by a gateway which received the second
// of two newer versions without the first: their time began with the first.
BOOST_AUTO_TEST_CASE(older_weights_end_by_the_first_newer_version_even_if_it_was_never_received)
{
    RelayFixture().run([](RelayFixture &fixture) -> awaitable<void> {
        co_await fixture.waitUntilFollowing();
        const auto newest
            = [](FeedProcess &process) { return process.config().weights().newest("m"); };
        fixture.reader.store.write(Feed::Operators, "version/m", namedWeights(1));
        co_await fixture.waitFor(
            [&] { return fixture.follower.config().weights().find("m") != nullptr; });
        // The follower reaches nobody while two versions are named.
        fixture.follower.store.isUnreachable = true;
        fixture.followed = freePeerEndpoint(fixture.context);
        co_await fixture.waitFor([&] {
            return fixture.follower.feeds().age(Feed::Operators).value_or(Microseconds(0))
                > Milliseconds(300);
        });
        // Read first: the bound below must not lie behind the last contact.
        const Instant firstNamedAt = now();
        const Microseconds outOfContact = *fixture.follower.feeds().age(Feed::Operators);
        fixture.reader.store.write(Feed::Operators, "version/m", namedWeights(2));
        co_await fixture.waitFor([&] { return newest(fixture.reader) == 2; });
        co_await sleepFor(std::chrono::milliseconds(700));
        fixture.reader.store.write(Feed::Operators, "version/m", namedWeights(3));
        co_await fixture.waitFor([&] { return newest(fixture.reader) == 3; });
        fixture.followed = fixture.reader.address;
        co_await fixture.waitFor([&] { return newest(fixture.follower) == 3; });
        const auto cutoff = fixture.follower.config().weights().cutoffAt("m", 1);
        BOOST_REQUIRE(cutoff.has_value());
        const Milliseconds grace = MemberBounds().weightsGracePeriod;
        BOOST_TEST((*cutoff <= firstNamedAt + grace));
        // But not as if it might have been named at any time.
        BOOST_TEST((*cutoff >= firstNamedAt - outOfContact + grace));
    });
}

// Guards against seconds in which a process that has just started refuses older weights that are
// allowed, and against an age that becomes younger each time it is passed on.
BOOST_AUTO_TEST_CASE(process_that_starts_learns_from_others_since_when_a_version_is_superseded)
{
    asio::io_context context{1};
    MemoryStore store(context.get_executor());
    VersionProcess first(context, store, "first");
    std::optional<VersionProcess> second;
    std::optional<VersionProcess> third;
    runTest(context, [&]() -> awaitable<void> {
        const auto [namedAfter, namedBefore] = co_await supersedeFirstVersion(store, first);
        co_await sleepFor(std::chrono::milliseconds(300));
        second.emplace(context, store, "second");
        co_await waitUntil([&] { return second->earliest(1).has_value(); });
        BOOST_TEST((*second->earliest(1) <= namedBefore));
        // The first process is as sure of it as the interval of its reads allows.
        BOOST_TEST((*second->earliest(1) >= namedAfter - std::chrono::seconds(3)));
        first.kill();
        third.emplace(context, store, "third");
        co_await waitUntil([&] { return third->earliest(1).has_value(); });
        BOOST_TEST((*third->earliest(1) <= namedBefore));
        second->kill();
        third->kill();
    });
}

// Guards against seconds without service after a start of all processes at which older weights are
// allowed: nobody is left who knows since when they are superseded.
BOOST_AUTO_TEST_CASE(processes_that_all_start_know_the_age_from_the_record_of_one_of_them)
{
    asio::io_context context{1};
    MemoryStore store(context.get_executor());
    VersionProcess first(context, store, "first");
    std::optional<VersionProcess> next;
    std::optional<VersionProcess> other;
    runTest(context, [&]() -> awaitable<void> {
        co_await supersedeFirstVersion(store, first);
        co_await waitUntil([&] { return store.hasKeyWithPrefix(Feed::Members, sVersionTimeKeys); });
        const auto earliest = first.earliest(1);
        BOOST_REQUIRE(earliest.has_value());
        first.kill();
        next.emplace(context, store, "first", first.peers());
        other.emplace(context, store, "other");
        co_await waitUntil([&] { return next->earliest(1) && other->earliest(1); });
        BOOST_TEST((next->earliest(1) == earliest));
        BOOST_TEST((*other->earliest(1) <= *earliest));
        BOOST_TEST((*other->earliest(1) >= *earliest - std::chrono::seconds(3)));
        next->kill();
        other->kill();
    });
}

// Guards against times of a clock that has begun anew since they were recorded.
BOOST_AUTO_TEST_CASE(record_from_before_a_boot_of_the_box_is_not_used)
{
    asio::io_context context{1};
    MemoryStore store(context.get_executor());
    VersionProcess first(context, store, "first");
    std::optional<VersionProcess> next;
    runTest(context, [&]() -> awaitable<void> {
        co_await supersedeFirstVersion(store, first);
        co_await waitUntil([&] { return store.hasKeyWithPrefix(Feed::Members, sVersionTimeKeys); });
        first.kill();
        next.emplace(context, store, "first", first.peers(), "boot 2");
        co_await waitUntil([&] { return next->weights().newest("m") == 2; });
        co_await sleepFor(std::chrono::milliseconds(500));
        BOOST_TEST(!next->earliest(1).has_value());
        next->kill();
    });
}

// Guards against a write to the store by each process for each version.
BOOST_AUTO_TEST_CASE(one_process_of_a_data_centre_records_the_time_of_a_version_once)
{
    asio::io_context context{1};
    MemoryStore store(context.get_executor());
    VersionProcess first(context, store, "first");
    VersionProcess second(context, store, "second");
    const auto recordCount = [&] {
        return std::ranges::count_if(std::array{&first, &second}, [&](VersionProcess *process) {
            return store.value(Feed::Members, process->recordKey()).has_value();
        });
    };
    runTest(context, [&]() -> awaitable<void> {
        store.write(Feed::Operators, "version/m", namedWeights(1));
        co_await waitUntil([&] {
            return first.weights().find("m") != nullptr && second.weights().find("m") != nullptr
                && first.otherCount() == 1 && second.otherCount() == 1;
        });
        store.write(Feed::Operators, "version/m", namedWeights(2));
        co_await waitUntil([&] { return recordCount() > 0; });
        const std::size_t writeCount = store.recordCount(Feed::Members);
        co_await waitUntil([&] { return first.earliest(1) && second.earliest(1); });
        co_await sleepFor(std::chrono::milliseconds(500));
        BOOST_TEST(recordCount() == 1);
        BOOST_TEST(store.recordCount(Feed::Members) == writeCount);
        first.kill();
        second.kill();
    });
}

BOOST_AUTO_TEST_CASE(record_of_version_times_keeps_what_is_unknown)
{
    const Instant time = Instant(std::chrono::seconds(100));
    const std::vector<SupersededVersion> versions{
        {"m", 3, EventTime(time - std::chrono::seconds(2), time - std::chrono::seconds(1))},
        {"n", 1, EventTime::before(time)}};
    const auto read = readVersionTimeRecord(versionTimeRecord(versions, sBoot), sBoot, time);
    BOOST_REQUIRE(read.has_value());
    BOOST_REQUIRE(read->size() == 2U);
    BOOST_TEST(read->front().model == "m");
    BOOST_TEST(read->front().version == 3U);
    BOOST_TEST((read->front().supersededAt.earliest() == time - std::chrono::seconds(2)));
    BOOST_TEST((read->front().supersededAt.latest() == time - std::chrono::seconds(1)));
    BOOST_TEST(!read->back().supersededAt.earliest().has_value());
    BOOST_TEST((read->back().supersededAt.latest() == time));
}

// Guards against the clock of a virtual machine that was stopped, or of a box that booted without
// another id.
BOOST_AUTO_TEST_CASE(record_of_version_times_is_of_one_boot)
{
    const Instant time = Instant(std::chrono::seconds(100));
    const std::vector<SupersededVersion> versions{{"m", 3, EventTime::at(time)}};
    const std::string record = versionTimeRecord(versions, sBoot);
    const auto countFor = [&](const BoxBoot &boot) {
        const auto read = readVersionTimeRecord(record, boot, time);
        BOOST_REQUIRE(read.has_value());
        return read->size();
    };
    BOOST_TEST(countFor(sBoot) == 1U);
    BOOST_TEST(countFor({"boot 2", sBoot.at}) == 0U);
    for (const WallMilliseconds jump : {WallMilliseconds(-2'900), WallMilliseconds(2'900)}) {
        BOOST_TEST(countFor({sBoot.id, sBoot.at + jump}) == 1U);
    }
    for (const WallMilliseconds jump : {WallMilliseconds(-3'100), WallMilliseconds(3'100)}) {
        BOOST_TEST(countFor({sBoot.id, sBoot.at + jump}) == 0U);
    }
}

BOOST_AUTO_TEST_CASE(errors_of_a_record_of_version_times_name_the_field)
{
    const auto errorOf = [](const std::string &fields) {
        const auto read
            = readVersionTimeRecord(R"({"boot":"boot 1","bootedAtMs":5000)" + fields + "}", sBoot,
                                    Instant(std::chrono::seconds(100)));
        return read ? std::string("none") : read.error();
    };
    const Instant time = Instant(std::chrono::seconds(100));
    BOOST_TEST(readVersionTimeRecord("{}", sBoot, time).error()
               == "boot: expected the id of a boot");
    BOOST_TEST(readVersionTimeRecord(R"({"boot":"boot 1"})", sBoot, time).error()
               == "bootedAtMs: expected a non-negative integer");
    BOOST_TEST(errorOf("") == "versions: expected a list");
    BOOST_TEST(errorOf(R"(,"versions":[7])") == "versions: expected objects");
    BOOST_TEST(errorOf(R"(,"versions":[{"version":1}])") == "versions: model: expected a name");
    BOOST_TEST(errorOf(R"(,"versions":[{"model":"m","version":0}])")
               == "versions: version: expected a positive integer");
    for (const std::string value : {"100000001", "-1", R"("1")"}) {
        BOOST_TEST(errorOf(R"(,"versions":[{"model":"m","version":1,"earliestUs":)" + value + "}]")
                   == "versions: earliestUs: expected a time in the past");
    }
}

// Guards against an age that processes which know nothing give each other.
BOOST_AUTO_TEST_CASE(processes_that_all_start_do_not_invent_an_age)
{
    asio::io_context context{1};
    MemoryStore store(context.get_executor());
    store.write(Feed::Operators, "version/m", namedWeights(2));
    VersionProcess first(context, store, "first");
    VersionProcess second(context, store, "second");
    runTest(context, [&]() -> awaitable<void> {
        co_await waitUntil([&] { return first.otherCount() == 1 && second.otherCount() == 1; });
        co_await sleepFor(std::chrono::milliseconds(500));
        for (VersionProcess *process : {&first, &second}) {
            BOOST_TEST(process->weights().newest("m") == 2U);
            BOOST_TEST(!process->earliest(1).has_value());
            BOOST_TEST(process->weights().hasUnknownTime(now()));
        }
        first.kill();
        second.kill();
    });
}

// Guards against a named version that seems new because operators wrote the same record again.
BOOST_AUTO_TEST_CASE(record_that_is_written_again_is_as_old_as_the_first)
{
    RelayFixture().run([](RelayFixture &fixture) -> awaitable<void> {
        co_await fixture.waitUntilFollowing();
        const auto acceptedAt = [](FeedProcess &process) {
            return process.feeds().acceptedAt(Feed::Operators, "version/m").earliest();
        };
        fixture.reader.store.write(Feed::Operators, "version/m", namedWeights(2));
        co_await fixture.waitFor([&] { return acceptedAt(fixture.follower).has_value(); });
        const auto first = acceptedAt(fixture.follower);
        co_await sleepFor(std::chrono::milliseconds(300));
        fixture.reader.store.write(Feed::Operators, "version/m", namedWeights(2));
        fixture.reader.store.write(Feed::Operators, "version/other",
                                   R"({"model":"other","version":2})");
        co_await fixture.waitFor(
            [&] { return fixture.follower.config().weights().find("other") != nullptr; });
        BOOST_TEST((acceptedAt(fixture.follower) == first));
    });
}
