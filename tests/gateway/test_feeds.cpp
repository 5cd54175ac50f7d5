/*
 * test_feeds.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "clock.h"
#include "delayingproxy.h"
#include "feedservice.h"
#include "gatewayfixture.h"
#include "peerconnection.h"
#include "peerhub.h"
#include "peerserver.h"
#include "wire.pb.h"

#include <random>

using namespace Loom;

namespace {

constexpr std::chrono::seconds sTestTimeout{20};

Tcp::endpoint freeEndpoint(asio::io_context &context)
{
    Tcp::acceptor acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return acceptor.local_endpoint();
}

/** Text that takes as many bytes on a link as it has. */
std::string incompressible(std::size_t size)
{
    std::mt19937 random{1};
    std::string text(size, '\0');
    std::ranges::generate(text, [&] { return static_cast<char>(random()); });
    return text;
}

/** One process's feeds, over its own view of the store. */
class FeedProcess
{
public:
    explicit FeedProcess(asio::io_context &context)
        : store(context.get_executor())
        , address(freeEndpoint(context))
        , mKernel(context.get_executor())
    {
        mKernel.add(std::make_unique<PeerHub>(address));
        mKernel.find<PeerHub>(PeerHub::sName).countInto(metrics);
        // Before the feeds: the store in memory answers while they start.
        mKernel.add(std::make_unique<DirectConfig>(mRecords, DirectBounds()));
        mKernel.add(std::make_unique<FeedService>(store, "box", FeedPreference::Store));
        feeds().countInto(metrics);
        config().countInto(metrics);
        feeds().listen(Feed::Operators,
                       [this](const FeedChange &change) { origin = change.origin; });
        feeds().listen(Feed::Replicas, [this](const FeedChange &change) {
            changedKeys.push_back(change.record.key);
            isLastTrusted = change.isTrusted;
            lastAge = change.age;
        });
    }

    void start() { BOOST_REQUIRE(mKernel.start().has_value()); }
    void stop() { mKernel.stop(); }
    FeedService &feeds() { return mKernel.find<FeedService>(FeedService::sName); }
    DirectConfig &config() { return mKernel.find<DirectConfig>(DirectConfig::sName); }
    bool hasConfig(std::uint64_t version)
    {
        return config().table() && config().table()->version() == version;
    }
    bool hasReceived(std::string_view key) const
    {
        return std::ranges::find(changedKeys, key) != changedKeys.end();
    }

    Metrics metrics;
    MemoryStore store;
    Tcp::endpoint address;
    std::vector<std::string> changedKeys;
    bool isLastTrusted = true;
    Microseconds lastAge{0}; ///< as the last change told it
    RecordOrigin origin; ///< of the last operators' record

private:
    Platform::Records mRecords;
    Kernel mKernel;
};

void writeConfig(FeedProcess &lab, std::uint64_t version)
{
    const std::string value = R"({"version":)" + std::to_string(version)
        + R"(,"routes":[],"services":[],"tenants":[]})";
    lab.store.write(Feed::Operators, "config", value);
}

bool hasMetric(const FeedProcess &lab, std::string_view text)
{
    return lab.metrics.text().find(text) != std::string::npos;
}

/** A reader of the store, and a follower of it whose own way to the store is another. */
class RelayFixture
{
public:
    RelayFixture()
    {
        reader.feeds().setReaders([] { return FeedReaders{true, true, {}}; });
        follower.feeds().setReaders([this] {
            return FeedReaders{isFollowerReadingStore, true, {followed}};
        });
    }

    void run(std::function<awaitable<void>(RelayFixture &)> test)
    {
        bool ended = false;
        const auto whole = [&]() -> awaitable<void> {
            reader.start();
            follower.start();
            co_await test(*this);
            ended = true;
            reader.stop();
            follower.stop();
            context.stop();
        };
        asio::co_spawn(context, whole(), asio::detached);
        context.run();
        BOOST_TEST(ended);
    }

    awaitable<void> waitFor(std::function<bool()> condition)
    {
        const auto until = std::chrono::steady_clock::now() + sTestTimeout;
        while (!condition() && std::chrono::steady_clock::now() < until) {
            co_await sleepFor(std::chrono::milliseconds(5));
        }
        BOOST_TEST(condition());
    }

    /** Until the follower learns what only the reader can know. */
    awaitable<void> waitUntilFollowing()
    {
        reader.store.write(Feed::Replicas, "first", "value");
        co_await waitFor([this] { return follower.hasReceived("first"); });
    }

    /** The follower ends its streams, reads its own store for a while and follows anew. */
    awaitable<void> reconnectFollower()
    {
        const int before = follower.store.readCount;
        isFollowerReadingStore = true;
        co_await waitFor([&] { return follower.store.readCount >= before + 3; });
        isFollowerReadingStore = false;
    }

    asio::io_context context{1};
    FeedProcess reader{context};
    FeedProcess follower{context};
    Tcp::endpoint followed = reader.address; ///< where the follower asks
    bool isFollowerReadingStore = false;
};

} // namespace

BOOST_AUTO_TEST_CASE(follower_receives_records_from_a_reader_without_reading_the_store)
{
    RelayFixture().run([](RelayFixture &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        lab.follower.store.write(Feed::Replicas, "unread", "value");
        lab.reader.store.write(Feed::Replicas, "second", "value");
        co_await lab.waitFor([&] { return lab.follower.hasReceived("second"); });
        BOOST_TEST(!lab.follower.hasReceived("unread"));
    });
}

BOOST_AUTO_TEST_CASE(follower_reads_the_store_when_its_reader_loses_the_store)
{
    RelayFixture().run([](RelayFixture &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        lab.reader.store.isUnreachable = true;
        lab.follower.store.write(Feed::Replicas, "first", "value");
        lab.follower.store.write(Feed::Replicas, "own", "value");
        co_await lab.waitFor([&] { return lab.follower.hasReceived("own"); });
    });
}

BOOST_AUTO_TEST_CASE(follower_reads_the_store_when_its_reader_stops)
{
    RelayFixture().run([](RelayFixture &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        lab.reader.stop();
        lab.follower.store.write(Feed::Replicas, "first", "value");
        lab.follower.store.write(Feed::Replicas, "own", "value");
        co_await lab.waitFor([&] { return lab.follower.hasReceived("own"); });
    });
}

BOOST_AUTO_TEST_CASE(removal_is_untrusted_after_a_recent_store_failure_of_the_reader)
{
    RelayFixture().run([](RelayFixture &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        BOOST_TEST(lab.follower.isLastTrusted);
        lab.reader.store.isUnreachable = true;
        lab.reader.store.write(Feed::Members, "wakes the reads", "value");
        co_await lab.waitFor([&] { return !lab.reader.feeds().isStoreReached(Feed::Replicas); });
        lab.reader.store.isUnreachable = false;
        co_await lab.waitFor([&] { return lab.reader.feeds().isStoreReached(Feed::Replicas); });
        const std::size_t before = lab.follower.changedKeys.size();
        lab.reader.store.write(Feed::Replicas, "first", std::nullopt);
        co_await lab.waitFor([&] { return lab.follower.changedKeys.size() > before; });
        BOOST_TEST(!lab.follower.isLastTrusted);
    });
}

BOOST_AUTO_TEST_CASE(equivalent_record_is_neither_announced_nor_relayed)
{
    RelayFixture lab;
    lab.reader.feeds().skipUnchanged(
        Feed::Replicas, [](const FeedRecord &known, const FeedRecord &next) {
            return known.value->front() == next.value->front(); // what follows is a heartbeat
        });
    lab.run([](RelayFixture &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        for (int beat = 0; beat < 5; ++beat) {
            lab.reader.store.write(Feed::Replicas, "r", "a" + std::to_string(beat));
        }
        lab.reader.store.write(Feed::Replicas, "r", "b0");
        co_await lab.waitFor([&] { return std::ranges::count(lab.reader.changedKeys, "r") == 2; });
        lab.reader.store.write(Feed::Replicas, "last", "value");
        co_await lab.waitFor([&] { return lab.follower.hasReceived("last"); });
        // Both know the newest value that means something else.
        for (FeedProcess *one : {&lab.reader, &lab.follower}) {
            BOOST_TEST(*one->feeds().table(Feed::Replicas).all().find("r")->second.value == "b0");
        }
        BOOST_TEST(std::ranges::count(lab.follower.changedKeys, "r") <= 2);
        // A removal always counts.
        lab.reader.store.write(Feed::Replicas, "r", std::nullopt);
        co_await lab.waitFor([&] { return std::ranges::count(lab.reader.changedKeys, "r") == 3; });
    });
}

BOOST_AUTO_TEST_CASE(long_record_is_relayed_compressed)
{
    RelayFixture().run([](RelayFixture &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        const std::uint64_t before = PeerConnection::totalBytes();
        std::string text;
        for (int route = 0; route < 10'000; ++route) {
            text += R"({"name":"route-)" + std::to_string(route) + R"(","host":"example"},)";
        }
        lab.reader.store.write(Feed::Replicas, "long", text);
        co_await lab.waitFor([&] { return lab.follower.hasReceived("long"); });
        const auto &table = lab.follower.feeds().table(Feed::Replicas).all();
        BOOST_TEST((*table.find("long")->second.value == text));
        // Counted at both ends.
        BOOST_TEST(PeerConnection::totalBytes() - before < text.size() / 2);
    });
}

BOOST_AUTO_TEST_CASE(reader_counts_relayed_and_read_bytes)
{
    RelayFixture lab;
    lab.reader.store.write(Feed::Replicas, "old", "12345"); // 8 bytes with its key
    lab.run([](RelayFixture &lab) -> awaitable<void> {
        co_await lab.waitFor([&] { return lab.reader.hasReceived("old"); });
        co_await lab.waitUntilFollowing(); // 10 bytes more
        const Metrics &metrics = lab.reader.metrics;
        BOOST_TEST(metrics.counter("store_bytes", "replicas, full") == 8U);
        BOOST_TEST(metrics.counter("store_bytes", "replicas, onward") == 10U);
        const std::uint64_t before = metrics.counter("peer_bytes", "follow, data centre unknown");
        const std::string text(1'000, 'x'); // too short to be compressed
        lab.reader.store.write(Feed::Replicas, "long", text);
        co_await lab.waitFor([&] { return lab.follower.hasReceived("long"); });
        const std::uint64_t after = metrics.counter("peer_bytes", "follow, data centre unknown");
        BOOST_TEST(after - before >= text.size());
        BOOST_TEST(metrics.counter("store_bytes", "replicas, onward") == 1'014U);
        BOOST_TEST_MESSAGE(metrics.text());
    });
}

BOOST_AUTO_TEST_CASE(configuration_carries_its_source_and_hop_count)
{
    RelayFixture lab;
    FeedProcess last(lab.context);
    last.feeds().setReaders([&] { return FeedReaders{false, true, {lab.follower.address}}; });
    lab.run([&last](RelayFixture &lab) -> awaitable<void> {
        last.start();
        co_await lab.waitUntilFollowing();
        co_await lab.waitFor([&] { return last.hasReceived("first"); });
        writeConfig(lab.reader, 1);
        co_await lab.waitFor([&] { return last.hasConfig(1); });
        last.stop();
    });
    BOOST_TEST(lab.reader.origin.from == "store");
    BOOST_TEST(lab.reader.origin.hops == 0U);
    BOOST_TEST(lab.follower.origin.from == endpointText(lab.reader.address));
    BOOST_TEST(lab.follower.origin.hops == 1U);
    BOOST_TEST(last.origin.from == endpointText(lab.follower.address));
    BOOST_TEST(last.origin.hops == 2U);
    BOOST_TEST(hasMetric(lab.reader, "loom_config_age_ms_count{of=\"from the store\"} 1\n"));
    BOOST_TEST(hasMetric(lab.follower, "loom_config_age_ms_count{of=\"relayed\"} 1\n"));
    BOOST_TEST(hasMetric(last, "loom_config_age_ms_count{of=\"relayed\"} 1\n"));
}

BOOST_AUTO_TEST_CASE(configuration_present_at_startup_reports_no_age)
{
    RelayFixture lab;
    writeConfig(lab.reader, 1);
    lab.run([](RelayFixture &lab) -> awaitable<void> {
        co_await lab.waitFor([&] { return lab.follower.hasConfig(1); });
        BOOST_TEST(lab.reader.hasConfig(1));
        BOOST_TEST(!hasMetric(lab.reader, "config_age_ms"));
        BOOST_TEST(!hasMetric(lab.follower, "config_age_ms"));
        writeConfig(lab.reader, 2);
        co_await lab.waitFor([&] { return lab.follower.hasConfig(2); });
        BOOST_TEST(hasMetric(lab.follower, "loom_config_age_ms_count{of=\"relayed\"} 1\n"));
    });
}

// With hundreds of gateways, full reads after each failure fill the links to the
// store, and every further read fails for that.
BOOST_AUTO_TEST_CASE(store_is_read_from_the_last_offset_after_a_failure)
{
    RelayFixture().run([](RelayFixture &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        const int before = lab.follower.store.fullReadCount;
        lab.reader.store.write(Feed::Replicas, "second", "value");
        co_await lab.waitFor([&] { return lab.follower.hasReceived("second"); });
        // Both stores hold the same log; the reader is gone, and the way to the
        // store breaks once.
        lab.follower.store.write(Feed::Replicas, "first", "value");
        lab.follower.store.write(Feed::Replicas, "second", "value");
        lab.reader.stop();
        lab.follower.store.isUnreachable = true;
        co_await lab.waitFor([&] { return !lab.follower.feeds().isStoreReached(Feed::Replicas); });
        lab.follower.store.isUnreachable = false;
        lab.follower.store.write(Feed::Replicas, "third", "value");
        co_await lab.waitFor([&] { return lab.follower.hasReceived("third"); });
        BOOST_TEST(lab.follower.store.fullReadCount == before);
        BOOST_TEST(std::ranges::count(lab.follower.changedKeys, "second") == 1);
    });
}

// Each new stream was sent the whole book of its feed, although its follower knew all
// but the last records. After connections had been reset, 25 `reader-lost` of one data
// centre were followed by as many whole books over links of 27 Mbit/s, and callers'
// requests waited behind them for 0.7 to 1.5 s.
BOOST_AUTO_TEST_CASE(reconnecting_follower_is_sent_only_missing_records)
{
    RelayFixture().run([](RelayFixture &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        const std::string large = incompressible(200'000);
        lab.reader.store.write(Feed::Replicas, "large", large);
        co_await lab.waitFor([&] { return lab.follower.hasReceived("large"); });
        const std::uint64_t before = PeerConnection::totalBytes();
        co_await lab.reconnectFollower();
        lab.reader.store.write(Feed::Replicas, "second", "value");
        co_await lab.waitFor([&] { return lab.follower.hasReceived("second"); });
        // Counted at both ends; large is the only long record.
        BOOST_TEST(PeerConnection::totalBytes() - before < large.size());
    });
}

BOOST_AUTO_TEST_CASE(reconnecting_follower_receives_a_removal_found_by_a_full_read)
{
    RelayFixture().run([](RelayFixture &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        const auto table
            = [&]() -> const FeedTable & { return lab.follower.feeds().table(Feed::Replicas); };
        co_await lab.reconnectFollower();
        lab.reader.store.hasLostHistory = true; // the removal itself is not read
        lab.reader.store.write(Feed::Replicas, "first", std::nullopt);
        co_await lab.waitFor([&] { return table().find("first") == nullptr; });
        BOOST_TEST(lab.follower.isLastTrusted);
    });
}

// Two changes of a record that come together are relayed as one. Where the second said
// what had been known before the first, it was passed over with the offset of what was
// known: whoever had heard of the first alone then took the older meaning for the newest.
BOOST_AUTO_TEST_CASE(restored_value_reaches_a_process_that_knows_the_intermediate_value)
{
    RelayFixture lab;
    const auto isEquivalent = [](const FeedRecord &known, const FeedRecord &next) {
        return known.value->front() == next.value->front();
    };
    FeedProcess last(lab.context);
    for (FeedProcess *one : {&lab.reader, &lab.follower, &last}) {
        one->feeds().skipUnchanged(Feed::Replicas, isEquivalent);
        one->store.write(Feed::Replicas, "r", "a0");
    }
    last.feeds().setReaders([&] { return FeedReaders{false, true, {lab.follower.address}}; });
    lab.run([&](RelayFixture &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        last.store.write(Feed::Replicas, "first", "value");
        last.store.write(Feed::Replicas, "r", "b0");
        lab.reader.store.write(Feed::Replicas, "r", "b0");
        lab.reader.store.write(Feed::Replicas, "r", "a1");
        lab.reader.store.write(Feed::Replicas, "end", "value");
        co_await lab.waitFor([&] { return lab.follower.hasReceived("end"); });
        last.start();
        co_await lab.waitFor([&] { return last.hasReceived("end"); });
        BOOST_TEST(last.feeds().table(Feed::Replicas).find("r")->value->front() == 'a');
        last.stop();
    });
}

// A relayed change that says what is known was kept silently, while the end of the book
// moved past it. Whoever followed and knew what came between was told that end alone.
BOOST_AUTO_TEST_CASE(restored_value_is_relayed_to_a_follower_that_knows_the_intermediate_value)
{
    RelayFixture lab;
    const auto isEquivalent = [](const FeedRecord &known, const FeedRecord &next) {
        return known.value->front() == next.value->front();
    };
    FeedProcess last(lab.context);
    for (FeedProcess *one : {&lab.reader, &lab.follower, &last}) {
        one->feeds().skipUnchanged(Feed::Replicas, isEquivalent);
        one->store.write(Feed::Replicas, "r", "a0");
    }
    last.feeds().setReaders([&] { return FeedReaders{false, true, {lab.follower.address}}; });
    lab.run([&](RelayFixture &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        last.store.write(Feed::Replicas, "first", "value");
        last.store.write(Feed::Replicas, "r", "b0");
        last.start();
        const auto isB = [&] {
            const FeedRecord *record = last.feeds().table(Feed::Replicas).find("r");
            return record != nullptr && record->value->front() == 'b';
        };
        co_await lab.waitFor(isB);
        co_await sleepFor(std::chrono::milliseconds(400)); // its stream has begun
        lab.reader.store.write(Feed::Replicas, "r", "b0");
        lab.reader.store.write(Feed::Replicas, "r", "a1");
        co_await lab.waitFor([&] { return !isB(); });
        last.stop();
    });
}

// A reader that began after a removal does not know of it. Whoever holds the record and
// followed was told how far the reader's book reaches, and kept the record for good.
BOOST_AUTO_TEST_CASE(follower_learns_of_a_removal_that_its_reader_never_read)
{
    RelayFixture lab;
    lab.reader.store.write(Feed::Replicas, "gone", "value");
    lab.reader.store.write(Feed::Replicas, "gone", std::nullopt);
    lab.reader.store.write(Feed::Replicas, "kept", "value");
    lab.follower.store.write(Feed::Replicas, "gone", "value");
    lab.run([](RelayFixture &lab) -> awaitable<void> {
        co_await lab.waitFor([&] { return lab.follower.hasReceived("kept"); });
        co_await lab.waitFor(
            [&] { return lab.follower.feeds().table(Feed::Replicas).find("gone") == nullptr; });
    });
}

// What cannot be read may be the only word of a change: it must not count as known.
BOOST_AUTO_TEST_CASE(unreadable_relayed_record_is_read_from_the_store)
{
    asio::io_context context{1};
    bool wasSent = false;
    PeerServer damaging(context.get_executor(), [&](PeerStreamPtr stream) -> awaitable<void> {
        const auto deadline = std::chrono::steady_clock::now() + sTestTimeout;
        const auto request = co_await stream->receiveMessage<wire::FollowRequest>(deadline);
        wire::FollowUpdate update;
        wire::RelayedRecord &record = *update.add_records();
        record.set_key("changed");
        record.set_offset(1);
        record.set_compressed("no frame at all");
        update.set_next_offset(2);
        stream->send(update);
        co_await sleepFor(std::chrono::milliseconds(100)); // it is read before the store changes
        const auto replicas = static_cast<std::uint32_t>(Feed::Replicas);
        wasSent = wasSent || (request && *request && (*request)->feed() == replicas);
    });
    BOOST_REQUIRE(damaging.listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0)).has_value());
    FeedProcess follower(context);
    follower.feeds().setReaders([&] {
        return FeedReaders{false, true, {damaging.localEndpoint()}};
    });
    follower.store.write(Feed::Replicas, "first", "value");
    const auto test = [&]() -> awaitable<void> {
        follower.start();
        const auto until = std::chrono::steady_clock::now() + sTestTimeout;
        while (!wasSent && std::chrono::steady_clock::now() < until) {
            co_await sleepFor(std::chrono::milliseconds(5));
        }
        BOOST_TEST(wasSent);
        follower.store.write(Feed::Replicas, "changed", "value");
        while (!follower.hasReceived("changed") && std::chrono::steady_clock::now() < until) {
            co_await sleepFor(std::chrono::milliseconds(5));
        }
        BOOST_TEST(follower.hasReceived("changed"));
        follower.stop();
        damaging.stopListening();
        context.stop();
    };
    asio::co_spawn(context, test(), asio::detached);
    context.run();
}

// A gateway answered 404 from an older configuration 3.007 s after a newer one was
// accepted, where 3.0 s are allowed, and took its knowledge for fresh. Updates between
// data centres had been on their way for 0.7 to 1.6 s, and their age was counted from
// their arrival. Knowledge that was on its way is at least as old as that.
BOOST_AUTO_TEST_CASE(transit_delay_to_a_follower_counts_into_the_age)
{
    RelayFixture lab;
    const Milliseconds responseDelay{500};
    DelayingProxy proxy(lab.context.get_executor(), lab.reader.address, responseDelay);
    lab.followed = proxy.address();
    lab.run([&](RelayFixture &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        lab.follower.store.isUnreachable = true;
        const Instant lost = now();
        lab.reader.store.write(Feed::Replicas, "second", "value");
        co_await lab.waitFor([&] { return lab.follower.hasReceived("second"); });
        BOOST_TEST((*lab.follower.feeds().age(Feed::Replicas) >= responseDelay));
        BOOST_TEST((lab.follower.lastAge >= responseDelay));
        // Later knowledge came over the same way, and does come.
        co_await lab.waitFor([&] {
            const Microseconds age = *lab.follower.feeds().age(Feed::Replicas);
            BOOST_TEST((age >= responseDelay));
            return now() - age > lost;
        });
    });
}

// A compressed configuration of some 40 KB needs several turns of the stream's window. On
// a way of 400 ms it took longer than a silence may last, was asked for anew every 1.4 s
// and never came, while its bytes filled that way (455 KB in 8 s, counted at both ends).
BOOST_AUTO_TEST_CASE(update_in_transfer_does_not_time_out)
{
    RelayFixture lab;
    DelayingProxy proxy(lab.context.get_executor(), lab.reader.address, Milliseconds(400));
    lab.followed = proxy.address();
    std::mt19937 random(1);
    std::string text;
    for (int byte = 0; byte < 60'000; ++byte) {
        text += static_cast<char>(random() % 256); // nothing that compresses
    }
    lab.run([&](RelayFixture &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        lab.follower.store.isUnreachable = true;
        lab.reader.store.write(Feed::Replicas, "long", text);
        co_await lab.waitFor([&] { return lab.follower.hasReceived("long"); });
    });
}

// The same between the store and whoever reads it: an answer tells what the store held
// when it looked, which may be long before the answer comes.
BOOST_AUTO_TEST_CASE(delay_of_the_store_response_counts_into_the_record_age)
{
    asio::io_context context{1};
    FeedProcess reader(context);
    const Milliseconds responseDelay{1'400};
    // Most of a read's wait may have passed before the record came, but no more is known.
    const Milliseconds leastAge{900};
    const auto test = [&]() -> awaitable<void> {
        reader.start();
        const auto until = std::chrono::steady_clock::now() + sTestTimeout;
        while (!reader.feeds().age(Feed::Replicas) && std::chrono::steady_clock::now() < until) {
            co_await sleepFor(std::chrono::milliseconds(5));
        }
        reader.store.responseDelay = responseDelay;
        reader.store.write(Feed::Replicas, "late", "value");
        while (!reader.hasReceived("late") && std::chrono::steady_clock::now() < until) {
            co_await sleepFor(std::chrono::milliseconds(5));
        }
        BOOST_TEST(reader.hasReceived("late"));
        BOOST_TEST((reader.lastAge >= leastAge));
        reader.stop();
        context.stop();
    };
    asio::co_spawn(context, test(), asio::detached);
    context.run();
}

BOOST_AUTO_TEST_CASE(feed_age_counts_from_the_lookup_in_the_store)
{
    asio::io_context context{1};
    FeedProcess reader(context);
    const Milliseconds responseDelay{300};
    reader.store.responseDelay = responseDelay;
    reader.store.write(Feed::Replicas, "first", "value");
    const auto test = [&]() -> awaitable<void> {
        reader.start();
        const auto until = std::chrono::steady_clock::now() + sTestTimeout;
        int seen = 0;
        while (seen < 200 && std::chrono::steady_clock::now() < until) {
            if (seen == 100) {
                reader.store.write(Feed::Replicas, "second", "value");
            }
            const auto age = reader.feeds().age(Feed::Replicas);
            BOOST_TEST((!age || *age >= responseDelay));
            seen += age ? 1 : 0;
            co_await sleepFor(std::chrono::milliseconds(5));
        }
        BOOST_TEST(seen == 200);
        BOOST_TEST(reader.hasReceived("second"));
        reader.stop();
        context.stop();
    };
    asio::co_spawn(context, test(), asio::detached);
    context.run();
}

// A process that could not read the store for seconds took what it then read for new:
// a bound that runs from a record's acceptance would have run from its arrival.
BOOST_AUTO_TEST_CASE(record_read_after_an_outage_has_the_age_of_the_outage)
{
    asio::io_context context{1};
    FeedProcess reader(context);
    reader.feeds().setReaders([] { return FeedReaders{true, true, {}}; });
    const Milliseconds outage{2'000};
    const Milliseconds longestRead{600};
    const auto test = [&]() -> awaitable<void> {
        reader.start();
        const auto until = std::chrono::steady_clock::now() + sTestTimeout;
        const auto waitFor = [&](auto condition) -> awaitable<void> {
            while (!condition() && std::chrono::steady_clock::now() < until) {
                co_await sleepFor(std::chrono::milliseconds(5));
            }
            BOOST_TEST(condition());
        };
        co_await waitFor([&] { return reader.feeds().age(Feed::Replicas).has_value(); });
        reader.store.isUnreachable = true;
        co_await waitFor([&] { return *reader.feeds().age(Feed::Replicas) >= outage; });
        reader.store.write(Feed::Replicas, "first", "value");
        reader.store.isUnreachable = false;
        co_await waitFor([&] { return reader.hasReceived("first"); });
        BOOST_TEST((reader.lastAge >= outage - longestRead));
        reader.stop();
        context.stop();
    };
    asio::co_spawn(context, test(), asio::detached);
    context.run();
}

// One read gives so many bytes at most. What lies behind them was accepted, too, so a
// part of it must not count as all.
BOOST_AUTO_TEST_CASE(partial_read_does_not_refresh_the_feed)
{
    asio::io_context context{1};
    FeedProcess reader(context);
    reader.store.maxRecordsPerRead = 1;
    const auto test = [&]() -> awaitable<void> {
        reader.start();
        const auto until = std::chrono::steady_clock::now() + sTestTimeout;
        while (!reader.feeds().age(Feed::Replicas) && std::chrono::steady_clock::now() < until) {
            co_await sleepFor(std::chrono::milliseconds(5));
        }
        const Instant accepted = now();
        for (const char *key : {"first", "second", "last"}) {
            reader.store.write(Feed::Replicas, key, "value");
        }
        while (!reader.hasReceived("last") && std::chrono::steady_clock::now() < until) {
            const Microseconds since = now() - accepted;
            BOOST_TEST((*reader.feeds().age(Feed::Replicas) >= since));
            co_await sleepFor(std::chrono::milliseconds(5));
        }
        BOOST_TEST(reader.hasReceived("last"));
        reader.stop();
        context.stop();
    };
    asio::co_spawn(context, test(), asio::detached);
    context.run();
}
