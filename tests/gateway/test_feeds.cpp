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

constexpr std::chrono::seconds sGenerous{20};

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
class FeedLab
{
public:
    explicit FeedLab(asio::io_context &context)
        : store(context.get_executor())
        , address(freeEndpoint(context))
        , mKernel(context.get_executor())
    {
        mKernel.add(std::make_unique<PeerHub>(address));
        mKernel.find<PeerHub>(PeerHub::sName).countInto(metrics);
        // Before the feeds: the store in memory answers while they start.
        mKernel.add(std::make_unique<OperatorConfigService>(mRecords, MemberBounds()));
        mKernel.add(std::make_unique<FeedService>(store, "box", FeedPreference::Store));
        feeds().countInto(metrics);
        config().countInto(metrics);
        feeds().listen(Feed::Operators, [this](const FeedChange &change) { way = change.way; });
        feeds().listen(Feed::Replicas, [this](const FeedChange &change) {
            heard.push_back(change.record.key);
            isLastTrusted = change.isTrusted;
            lastAge = change.age;
        });
    }

    void start() { BOOST_REQUIRE(mKernel.start().has_value()); }
    void stop() { mKernel.stop(); }
    FeedService &feeds() { return mKernel.find<FeedService>(FeedService::sName); }
    OperatorConfigService &config()
    {
        return mKernel.find<OperatorConfigService>(OperatorConfigService::sName);
    }
    bool hasConfig(std::uint64_t version)
    {
        return config().table() && config().table()->version() == version;
    }
    bool hasHeard(std::string_view key) const
    {
        return std::ranges::find(heard, key) != heard.end();
    }

    Metrics metrics;
    MemoryStore store;
    Tcp::endpoint address;
    std::vector<std::string> heard;
    bool isLastTrusted = true;
    Microseconds lastAge{0}; ///< as the last change told it
    RecordWay way; ///< of the last operators' record

private:
    Platform::RecordDecoder mRecords;
    Kernel mKernel;
};

void writeConfig(FeedLab &lab, std::uint64_t version)
{
    const std::string value = R"({"version":)" + std::to_string(version)
        + R"(,"routes":[],"services":[],"tenants":[]})";
    lab.store.write(Feed::Operators, "config", value);
}

bool hasMetric(const FeedLab &lab, std::string_view text)
{
    return lab.metrics.text().find(text) != std::string::npos;
}

/** A reader of the store, and a follower of it whose own way to the store is another. */
class RelayLab
{
public:
    RelayLab()
    {
        reader.feeds().setReaders([] { return FeedReaders{true, true, {}}; });
        follower.feeds().setReaders([this] {
            return FeedReaders{isFollowerItselfReading, true, {followed}};
        });
    }

    void run(std::function<awaitable<void>(RelayLab &)> test)
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
        const auto until = std::chrono::steady_clock::now() + sGenerous;
        while (!condition() && std::chrono::steady_clock::now() < until) {
            co_await sleepFor(std::chrono::milliseconds(5));
        }
        BOOST_TEST(condition());
    }

    /** Until the follower learns what only the reader can know. */
    awaitable<void> waitUntilFollowing()
    {
        reader.store.write(Feed::Replicas, "first", "value");
        co_await waitFor([this] { return follower.hasHeard("first"); });
    }

    /** The follower ends its streams, reads its own store for a while and follows anew. */
    awaitable<void> leaveAndComeAgain()
    {
        const int before = follower.store.readCount;
        isFollowerItselfReading = true;
        co_await waitFor([&] { return follower.store.readCount >= before + 3; });
        isFollowerItselfReading = false;
    }

    asio::io_context context{1};
    FeedLab reader{context};
    FeedLab follower{context};
    Tcp::endpoint followed = reader.address; ///< where the follower asks
    bool isFollowerItselfReading = false;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_follower_learns_from_a_reader_and_asks_the_store_nothing)
{
    RelayLab().run([](RelayLab &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        lab.follower.store.write(Feed::Replicas, "unread", "value");
        lab.reader.store.write(Feed::Replicas, "second", "value");
        co_await lab.waitFor([&] { return lab.follower.hasHeard("second"); });
        BOOST_TEST(!lab.follower.hasHeard("unread"));
    });
}

BOOST_AUTO_TEST_CASE(a_follower_reads_the_store_itself_once_its_reader_has_lost_it)
{
    RelayLab().run([](RelayLab &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        lab.reader.store.isUnreachable = true;
        lab.follower.store.write(Feed::Replicas, "first", "value");
        lab.follower.store.write(Feed::Replicas, "own", "value");
        co_await lab.waitFor([&] { return lab.follower.hasHeard("own"); });
    });
}

BOOST_AUTO_TEST_CASE(a_follower_reads_the_store_itself_once_its_reader_is_gone)
{
    RelayLab().run([](RelayLab &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        lab.reader.stop();
        lab.follower.store.write(Feed::Replicas, "first", "value");
        lab.follower.store.write(Feed::Replicas, "own", "value");
        co_await lab.waitFor([&] { return lab.follower.hasHeard("own"); });
    });
}

BOOST_AUTO_TEST_CASE(a_removal_is_doubtful_where_the_readers_store_failed_of_late)
{
    RelayLab().run([](RelayLab &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        BOOST_TEST(lab.follower.isLastTrusted);
        lab.reader.store.isUnreachable = true;
        lab.reader.store.write(Feed::Members, "wakes the reads", "value");
        co_await lab.waitFor([&] { return !lab.reader.feeds().isStoreReached(Feed::Replicas); });
        lab.reader.store.isUnreachable = false;
        co_await lab.waitFor([&] { return lab.reader.feeds().isStoreReached(Feed::Replicas); });
        const std::size_t before = lab.follower.heard.size();
        lab.reader.store.write(Feed::Replicas, "first", std::nullopt);
        co_await lab.waitFor([&] { return lab.follower.heard.size() > before; });
        BOOST_TEST(!lab.follower.isLastTrusted);
    });
}

BOOST_AUTO_TEST_CASE(a_record_that_says_the_same_again_is_neither_told_nor_relayed)
{
    RelayLab lab;
    lab.reader.feeds().passOver(
        Feed::Replicas, [](const FeedRecord &known, const FeedRecord &next) {
            return known.value->front() == next.value->front(); // what follows is a heartbeat
        });
    lab.run([](RelayLab &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        for (int beat = 0; beat < 5; ++beat) {
            lab.reader.store.write(Feed::Replicas, "r", "a" + std::to_string(beat));
        }
        lab.reader.store.write(Feed::Replicas, "r", "b0");
        co_await lab.waitFor([&] { return std::ranges::count(lab.reader.heard, "r") == 2; });
        lab.reader.store.write(Feed::Replicas, "last", "value");
        co_await lab.waitFor([&] { return lab.follower.hasHeard("last"); });
        // Both know the newest value that means something else.
        for (FeedLab *one : {&lab.reader, &lab.follower}) {
            BOOST_TEST(*one->feeds().book(Feed::Replicas).all().find("r")->second.value == "b0");
        }
        BOOST_TEST(std::ranges::count(lab.follower.heard, "r") <= 2);
        // A removal always counts.
        lab.reader.store.write(Feed::Replicas, "r", std::nullopt);
        co_await lab.waitFor([&] { return std::ranges::count(lab.reader.heard, "r") == 3; });
    });
}

BOOST_AUTO_TEST_CASE(a_long_record_is_relayed_in_a_fraction_of_its_bytes)
{
    RelayLab().run([](RelayLab &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        const std::uint64_t before = PeerConnection::totalBytes();
        std::string text;
        for (int route = 0; route < 10'000; ++route) {
            text += R"({"name":"route-)" + std::to_string(route) + R"(","host":"example"},)";
        }
        lab.reader.store.write(Feed::Replicas, "long", text);
        co_await lab.waitFor([&] { return lab.follower.hasHeard("long"); });
        const auto &book = lab.follower.feeds().book(Feed::Replicas).all();
        BOOST_TEST((*book.find("long")->second.value == text));
        // Counted at both ends.
        BOOST_TEST(PeerConnection::totalBytes() - before < text.size() / 2);
    });
}

BOOST_AUTO_TEST_CASE(a_reader_counts_what_it_relays_and_what_it_reads)
{
    RelayLab lab;
    lab.reader.store.write(Feed::Replicas, "old", "12345"); // 8 bytes with its key
    lab.run([](RelayLab &lab) -> awaitable<void> {
        co_await lab.waitFor([&] { return lab.reader.hasHeard("old"); });
        co_await lab.waitUntilFollowing(); // 10 bytes more
        const Metrics &metrics = lab.reader.metrics;
        BOOST_TEST(metrics.counter("store_bytes", "replicas, full") == 8U);
        BOOST_TEST(metrics.counter("store_bytes", "replicas, onward") == 10U);
        const std::uint64_t before = metrics.counter("peer_bytes", "follow, data centre unknown");
        const std::string text(1'000, 'x'); // too short to be compressed
        lab.reader.store.write(Feed::Replicas, "long", text);
        co_await lab.waitFor([&] { return lab.follower.hasHeard("long"); });
        const std::uint64_t after = metrics.counter("peer_bytes", "follow, data centre unknown");
        BOOST_TEST(after - before >= text.size());
        BOOST_TEST(metrics.counter("store_bytes", "replicas, onward") == 1'014U);
        BOOST_TEST_MESSAGE(metrics.text());
    });
}

BOOST_AUTO_TEST_CASE(a_configuration_tells_from_where_and_over_how_many_processes_it_came)
{
    RelayLab lab;
    FeedLab last(lab.context);
    last.feeds().setReaders([&] { return FeedReaders{false, true, {lab.follower.address}}; });
    lab.run([&last](RelayLab &lab) -> awaitable<void> {
        last.start();
        co_await lab.waitUntilFollowing();
        co_await lab.waitFor([&] { return last.hasHeard("first"); });
        writeConfig(lab.reader, 1);
        co_await lab.waitFor([&] { return last.hasConfig(1); });
        last.stop();
    });
    BOOST_TEST(lab.reader.way.from == "store");
    BOOST_TEST(lab.reader.way.hops == 0U);
    BOOST_TEST(lab.follower.way.from == endpointText(lab.reader.address));
    BOOST_TEST(lab.follower.way.hops == 1U);
    BOOST_TEST(last.way.from == endpointText(lab.follower.address));
    BOOST_TEST(last.way.hops == 2U);
    BOOST_TEST(hasMetric(lab.reader, "loom_config_age_ms_count{of=\"from the store\"} 1\n"));
    BOOST_TEST(hasMetric(lab.follower, "loom_config_age_ms_count{of=\"relayed\"} 1\n"));
    BOOST_TEST(hasMetric(last, "loom_config_age_ms_count{of=\"relayed\"} 1\n"));
}

BOOST_AUTO_TEST_CASE(a_configuration_that_was_there_at_the_start_has_no_age)
{
    RelayLab lab;
    writeConfig(lab.reader, 1);
    lab.run([](RelayLab &lab) -> awaitable<void> {
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
BOOST_AUTO_TEST_CASE(after_a_failure_the_store_is_read_from_where_the_book_ends)
{
    RelayLab().run([](RelayLab &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        const int before = lab.follower.store.fullReadCount;
        lab.reader.store.write(Feed::Replicas, "second", "value");
        co_await lab.waitFor([&] { return lab.follower.hasHeard("second"); });
        // Both stores hold the same log; the reader is gone, and the way to the
        // store breaks once.
        lab.follower.store.write(Feed::Replicas, "first", "value");
        lab.follower.store.write(Feed::Replicas, "second", "value");
        lab.reader.stop();
        lab.follower.store.isUnreachable = true;
        co_await lab.waitFor([&] { return !lab.follower.feeds().isStoreReached(Feed::Replicas); });
        lab.follower.store.isUnreachable = false;
        lab.follower.store.write(Feed::Replicas, "third", "value");
        co_await lab.waitFor([&] { return lab.follower.hasHeard("third"); });
        BOOST_TEST(lab.follower.store.fullReadCount == before);
        BOOST_TEST(std::ranges::count(lab.follower.heard, "second") == 1);
    });
}

// Each new stream was sent the whole book of its feed, although its follower knew all
// but the last records. After connections had been reset, 25 `reader-lost` of one data
// centre were followed by as many whole books over links of 27 Mbit/s, and callers'
// requests waited behind them for 0.7 to 1.5 s.
BOOST_AUTO_TEST_CASE(a_follower_that_comes_again_is_sent_only_what_it_lacks)
{
    RelayLab().run([](RelayLab &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        const std::string large = incompressible(200'000);
        lab.reader.store.write(Feed::Replicas, "large", large);
        co_await lab.waitFor([&] { return lab.follower.hasHeard("large"); });
        const std::uint64_t before = PeerConnection::totalBytes();
        co_await lab.leaveAndComeAgain();
        lab.reader.store.write(Feed::Replicas, "second", "value");
        co_await lab.waitFor([&] { return lab.follower.hasHeard("second"); });
        // Counted at both ends; large is the only long record.
        BOOST_TEST(PeerConnection::totalBytes() - before < large.size());
    });
}

BOOST_AUTO_TEST_CASE(a_follower_that_comes_again_learns_of_a_removal_that_a_full_read_found)
{
    RelayLab().run([](RelayLab &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        const auto book
            = [&]() -> const FeedTable & { return lab.follower.feeds().book(Feed::Replicas); };
        co_await lab.leaveAndComeAgain();
        lab.reader.store.hasLostHistory = true; // the removal itself is not read
        lab.reader.store.write(Feed::Replicas, "first", std::nullopt);
        co_await lab.waitFor([&] { return book().find("first") == nullptr; });
        BOOST_TEST(lab.follower.isLastTrusted);
    });
}

// Two changes of a record that come together are relayed as one. Where the second said
// what had been known before the first, it was passed over with the offset of what was
// known: whoever had heard of the first alone then took the older meaning for the newest.
BOOST_AUTO_TEST_CASE(a_value_that_came_back_reaches_whoever_knows_what_came_between)
{
    RelayLab lab;
    const auto isSame = [](const FeedRecord &known, const FeedRecord &next) {
        return known.value->front() == next.value->front();
    };
    FeedLab last(lab.context);
    for (FeedLab *one : {&lab.reader, &lab.follower, &last}) {
        one->feeds().passOver(Feed::Replicas, isSame);
        one->store.write(Feed::Replicas, "r", "a0");
    }
    last.feeds().setReaders([&] { return FeedReaders{false, true, {lab.follower.address}}; });
    lab.run([&](RelayLab &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        last.store.write(Feed::Replicas, "first", "value");
        last.store.write(Feed::Replicas, "r", "b0");
        lab.reader.store.write(Feed::Replicas, "r", "b0");
        lab.reader.store.write(Feed::Replicas, "r", "a1");
        lab.reader.store.write(Feed::Replicas, "end", "value");
        co_await lab.waitFor([&] { return lab.follower.hasHeard("end"); });
        last.start();
        co_await lab.waitFor([&] { return last.hasHeard("end"); });
        BOOST_TEST(last.feeds().book(Feed::Replicas).find("r")->value->front() == 'a');
        last.stop();
    });
}

// A relayed change that says what is known was kept silently, while the end of the book
// moved past it. Whoever followed and knew what came between was told that end alone.
BOOST_AUTO_TEST_CASE(a_value_that_came_back_is_passed_on_to_whoever_knows_what_came_between)
{
    RelayLab lab;
    const auto isSame = [](const FeedRecord &known, const FeedRecord &next) {
        return known.value->front() == next.value->front();
    };
    FeedLab last(lab.context);
    for (FeedLab *one : {&lab.reader, &lab.follower, &last}) {
        one->feeds().passOver(Feed::Replicas, isSame);
        one->store.write(Feed::Replicas, "r", "a0");
    }
    last.feeds().setReaders([&] { return FeedReaders{false, true, {lab.follower.address}}; });
    lab.run([&](RelayLab &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        last.store.write(Feed::Replicas, "first", "value");
        last.store.write(Feed::Replicas, "r", "b0");
        last.start();
        const auto isB = [&] {
            const FeedRecord *record = last.feeds().book(Feed::Replicas).find("r");
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
BOOST_AUTO_TEST_CASE(a_follower_learns_of_a_removal_that_its_reader_never_saw)
{
    RelayLab lab;
    lab.reader.store.write(Feed::Replicas, "gone", "value");
    lab.reader.store.write(Feed::Replicas, "gone", std::nullopt);
    lab.reader.store.write(Feed::Replicas, "kept", "value");
    lab.follower.store.write(Feed::Replicas, "gone", "value");
    lab.run([](RelayLab &lab) -> awaitable<void> {
        co_await lab.waitFor([&] { return lab.follower.hasHeard("kept"); });
        co_await lab.waitFor(
            [&] { return lab.follower.feeds().book(Feed::Replicas).find("gone") == nullptr; });
    });
}

// What cannot be read may be the only word of a change: it must not count as known.
BOOST_AUTO_TEST_CASE(a_relayed_record_that_cannot_be_read_is_read_from_the_store)
{
    asio::io_context context{1};
    bool wasSent = false;
    PeerServer damaging(context.get_executor(), [&](PeerStreamPtr stream) -> awaitable<void> {
        const auto deadline = std::chrono::steady_clock::now() + sGenerous;
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
    FeedLab follower(context);
    follower.feeds().setReaders([&] {
        return FeedReaders{false, true, {damaging.localEndpoint()}};
    });
    follower.store.write(Feed::Replicas, "first", "value");
    const auto test = [&]() -> awaitable<void> {
        follower.start();
        const auto until = std::chrono::steady_clock::now() + sGenerous;
        while (!wasSent && std::chrono::steady_clock::now() < until) {
            co_await sleepFor(std::chrono::milliseconds(5));
        }
        BOOST_TEST(wasSent);
        follower.store.write(Feed::Replicas, "changed", "value");
        while (!follower.hasHeard("changed") && std::chrono::steady_clock::now() < until) {
            co_await sleepFor(std::chrono::milliseconds(5));
        }
        BOOST_TEST(follower.hasHeard("changed"));
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
BOOST_AUTO_TEST_CASE(what_was_held_on_its_way_to_a_follower_is_not_fresh)
{
    RelayLab lab;
    const Milliseconds responseDelay{500};
    DelayingProxy way(lab.context.get_executor(), lab.reader.address, responseDelay);
    lab.followed = way.address();
    lab.run([&](RelayLab &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        lab.follower.store.isUnreachable = true;
        const Instant lost = now();
        lab.reader.store.write(Feed::Replicas, "second", "value");
        co_await lab.waitFor([&] { return lab.follower.hasHeard("second"); });
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
BOOST_AUTO_TEST_CASE(an_update_that_is_arriving_is_no_silence)
{
    RelayLab lab;
    DelayingProxy way(lab.context.get_executor(), lab.reader.address, Milliseconds(400));
    lab.followed = way.address();
    std::mt19937 random(1);
    std::string text;
    for (int byte = 0; byte < 60'000; ++byte) {
        text += static_cast<char>(random() % 256); // nothing that compresses
    }
    lab.run([&](RelayLab &lab) -> awaitable<void> {
        co_await lab.waitUntilFollowing();
        lab.follower.store.isUnreachable = true;
        lab.reader.store.write(Feed::Replicas, "long", text);
        co_await lab.waitFor([&] { return lab.follower.hasHeard("long"); });
    });
}

// The same between the store and whoever reads it: an answer tells what the store held
// when it looked, which may be long before the answer comes.
BOOST_AUTO_TEST_CASE(a_record_is_as_old_as_its_way_from_the_store)
{
    asio::io_context context{1};
    FeedLab reader(context);
    const Milliseconds responseDelay{1'400};
    // Most of a read's wait may have passed before the record came, but no more is known.
    const Milliseconds leastAge{900};
    const auto test = [&]() -> awaitable<void> {
        reader.start();
        const auto until = std::chrono::steady_clock::now() + sGenerous;
        while (!reader.feeds().age(Feed::Replicas) && std::chrono::steady_clock::now() < until) {
            co_await sleepFor(std::chrono::milliseconds(5));
        }
        reader.store.responseDelay = responseDelay;
        reader.store.write(Feed::Replicas, "late", "value");
        while (!reader.hasHeard("late") && std::chrono::steady_clock::now() < until) {
            co_await sleepFor(std::chrono::milliseconds(5));
        }
        BOOST_TEST(reader.hasHeard("late"));
        BOOST_TEST((reader.lastAge >= leastAge));
        reader.stop();
        context.stop();
    };
    asio::co_spawn(context, test(), asio::detached);
    context.run();
}

BOOST_AUTO_TEST_CASE(what_the_store_said_is_as_old_as_its_look)
{
    asio::io_context context{1};
    FeedLab reader(context);
    const Milliseconds responseDelay{300};
    reader.store.responseDelay = responseDelay;
    reader.store.write(Feed::Replicas, "first", "value");
    const auto test = [&]() -> awaitable<void> {
        reader.start();
        const auto until = std::chrono::steady_clock::now() + sGenerous;
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
        BOOST_TEST(reader.hasHeard("second"));
        reader.stop();
        context.stop();
    };
    asio::co_spawn(context, test(), asio::detached);
    context.run();
}

// A process that could not read the store for seconds took what it then read for new:
// a bound that runs from a record's acceptance would have run from its arrival.
BOOST_AUTO_TEST_CASE(what_is_read_after_an_outage_may_be_as_old_as_the_outage)
{
    asio::io_context context{1};
    FeedLab reader(context);
    reader.feeds().setReaders([] { return FeedReaders{true, true, {}}; });
    const Milliseconds outage{2'000};
    const Milliseconds longestRead{600};
    const auto test = [&]() -> awaitable<void> {
        reader.start();
        const auto until = std::chrono::steady_clock::now() + sGenerous;
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
        co_await waitFor([&] { return reader.hasHeard("first"); });
        BOOST_TEST((reader.lastAge >= outage - longestRead));
        reader.stop();
        context.stop();
    };
    asio::co_spawn(context, test(), asio::detached);
    context.run();
}

// One read gives so many bytes at most. What lies behind them was accepted, too, so a
// part of it must not count as all.
BOOST_AUTO_TEST_CASE(a_part_of_what_the_store_holds_is_not_fresh)
{
    asio::io_context context{1};
    FeedLab reader(context);
    reader.store.maxRecordsPerRead = 1;
    const auto test = [&]() -> awaitable<void> {
        reader.start();
        const auto until = std::chrono::steady_clock::now() + sGenerous;
        while (!reader.feeds().age(Feed::Replicas) && std::chrono::steady_clock::now() < until) {
            co_await sleepFor(std::chrono::milliseconds(5));
        }
        const Instant accepted = now();
        for (const char *key : {"first", "second", "last"}) {
            reader.store.write(Feed::Replicas, key, "value");
        }
        while (!reader.hasHeard("last") && std::chrono::steady_clock::now() < until) {
            const Microseconds since = now() - accepted;
            BOOST_TEST((*reader.feeds().age(Feed::Replicas) >= since));
            co_await sleepFor(std::chrono::milliseconds(5));
        }
        BOOST_TEST(reader.hasHeard("last"));
        reader.stop();
        context.stop();
    };
    asio::co_spawn(context, test(), asio::detached);
    context.run();
}
