/*
 * test_spoiltmanifests.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A manifest may arrive spoilt. One wrong digest kept an engine without weights for good: the
// chunk was requested again and again, and the manifest never. With all digests wrong, 2,640
// chunks were requested in 20 s. With one digest too few, an engine loaded incomplete weights.

#include <boost/test/unit_test.hpp>

#include "stagingfixture.h"

using namespace Loom;

namespace {

using Spoil = std::function<void(Manifest &manifest)>;

constexpr std::uint32_t sChunks = FakeEngine::sChunks;
// Chunks that one spoilt manifest may cost beyond those of the version.
constexpr std::uint32_t sMaxExtraChunks = sChunks * 12 / 10;

void spoilDigest(std::string &digest)
{
    digest[5] = digest[5] == '0' ? '1' : '0';
}

void dropLastDigest(Manifest &manifest)
{
    manifest.chunkDigests.pop_back();
    manifest.sizeBytes -= manifest.chunkBytes;
}

struct SpoiltForm
{
    std::string name;
    Spoil spoil;
};

std::vector<SpoiltForm> spoiltForms()
{
    return {
        {"one digest", [](Manifest &manifest) { spoilDigest(manifest.chunkDigests[7]); }},
        {"all digests",
         [](Manifest &manifest) { std::ranges::for_each(manifest.chunkDigests, spoilDigest); }},
        {"two digests in each other's place",
         [](Manifest &manifest) { manifest.chunkDigests[2].swap(manifest.chunkDigests[9]); }},
        {"one digest too few", dropLastDigest},
    };
}

const std::string sConfigWithChunks = R"({"version":1,"routes":[],"services":[
    {"name":"weights","origin":"127.0.0.1:9","link_mbps":9.0},
    {"name":"engine","engine":{"slots":4,"step_ms":5,"read_per_s":100000,"stride":1,"layers":1,
     "chunks":12,"usual":{"prompt":10,"answer":10},"models":[{"name":"m"}]}}]})";

/** One agent whose engine has to load version 2. */
class SpoiltManifestFixture
{
public:
    explicit SpoiltManifestFixture(const std::string &config = sStagingConfig)
        : agent(mContext, mStore, "box-1")
    {
        mStore.write(Feed::Operators, "config", config);
        mStore.write(Feed::Operators, "version/m", versionRecord(2));
    }

    FakeEngine &engine() { return agent.engine; }

    void run(const std::function<awaitable<void>()> &test)
    {
        agent.start();
        runTest(mContext, test);
    }

    void checkLoadedWhole()
    {
        BOOST_TEST(engine().ordersOnIncompleteStage == 0);
        BOOST_TEST(engine().ordersOnMixedStage == 0);
        BOOST_TEST(engine().loadOrders == 1);
    }

private:
    asio::io_context mContext{1};
    MemoryStore mStore{mContext.get_executor()};

public:
    StagingFixture agent;
};

} // namespace

BOOST_AUTO_TEST_CASE(an_engine_loads_the_whole_version_although_a_manifest_arrived_spoilt)
{
    for (const SpoiltForm &form : spoiltForms()) {
        for (const int spoiltCount : {1, 3}) {
            BOOST_TEST_CONTEXT(form.name << ", " << spoiltCount << " times")
            {
                SpoiltManifestFixture fixture;
                fixture.engine().onManifest = [&](Manifest &manifest) {
                    const int read = fixture.engine().manifestReads;
                    if (read <= spoiltCount) {
                        form.spoil(manifest);
                        // No two spoilt copies are equal.
                        manifest.wholeDigest[0] = static_cast<char>('a' + read);
                    }
                    return true;
                };
                fixture.run([&]() -> awaitable<void> {
                    co_await waitFor([&] { return fixture.engine().loaded == 2; });
                });
                fixture.checkLoadedWhole();
                BOOST_TEST(fixture.engine().servedChunks <= sChunks + sMaxExtraChunks);
                BOOST_TEST(fixture.engine().manifestReads <= spoiltCount + 2);
            }
        }
    }
}

// The origin fails right after it has sent the spoilt manifest, which then stands alone.
BOOST_AUTO_TEST_CASE(chunks_that_contradict_a_manifest_have_it_read_again)
{
    const std::vector<SpoiltForm> forms = spoiltForms();
    for (std::size_t index = 0; index < 3; ++index) { // chunks don't contradict a shorter manifest
        BOOST_TEST_CONTEXT(forms[index].name)
        {
            SpoiltManifestFixture fixture;
            fixture.engine().onManifest = [&](Manifest &manifest) {
                const int read = fixture.engine().manifestReads;
                if (read == 1) {
                    forms[index].spoil(manifest);
                }
                return read != 2;
            };
            fixture.run([&]() -> awaitable<void> {
                co_await waitFor([&] { return fixture.engine().loaded == 2; });
            });
            fixture.checkLoadedWhole();
            BOOST_TEST(fixture.engine().servedChunks <= sChunks + sMaxExtraChunks);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_manifest_with_another_number_of_chunks_than_configured_is_not_used)
{
    SpoiltManifestFixture fixture(sConfigWithChunks);
    fixture.engine().onManifest = [&](Manifest &manifest) {
        if (fixture.engine().manifestReads <= 6) {
            dropLastDigest(manifest);
        }
        return true;
    };
    fixture.run([&]() -> awaitable<void> {
        co_await waitFor([&] { return fixture.engine().loaded == 2; });
    });
    fixture.checkLoadedWhole();
}

// An agent passes its manifest on before its chunks have contradicted it.
BOOST_AUTO_TEST_CASE(a_spoilt_manifest_of_a_peer_is_replaced)
{
    asio::io_context context{1};
    MemoryStore store(context.get_executor());
    store.write(Feed::Operators, "config", sStagingConfig);
    store.write(Feed::Operators, "version/m", versionRecord(2));
    StagingFixture first(context, store, "box-1");
    first.engine.unavailableVersions = {2};
    first.engine.onManifest = [&](Manifest &manifest) {
        if (first.engine.manifestReads == 1) {
            spoilDigest(manifest.chunkDigests[7]);
        }
        return first.engine.manifestReads != 2;
    };
    StagingFixture second(context, store, "box-2");
    second.engine.onManifest = [&](Manifest &) { return second.engine.manifestReads > 1; };
    first.start();
    runTest(context, [&]() -> awaitable<void> {
        co_await waitFor([&] { return first.engine.requestedVersions.contains(2); });
        second.start();
        co_await waitFor([&] { return second.engine.requestedVersions.contains(2); });
        first.engine.unavailableVersions.clear();
        co_await waitFor([&] { return first.engine.loaded == 2 && second.engine.loaded == 2; });
    });
    for (const FakeEngine *engine : {&first.engine, &second.engine}) {
        BOOST_TEST(engine->ordersOnIncompleteStage == 0);
        BOOST_TEST(engine->ordersOnMixedStage == 0);
    }
    const std::uint32_t served = first.engine.servedChunks + second.engine.servedChunks;
    BOOST_TEST(served <= sChunks + 2 * sMaxExtraChunks);
}

// Chunks that contradict their manifest whenever they are read cost the origin little.
BOOST_AUTO_TEST_CASE(chunks_that_never_match_are_requested_ever_less_often)
{
    constexpr Milliseconds watched{5'000};
    SpoiltManifestFixture fixture;
    fixture.engine().onManifest = [](Manifest &manifest) {
        std::ranges::for_each(manifest.chunkDigests, spoilDigest);
        return true;
    };
    fixture.run([&]() -> awaitable<void> { co_await sleepFor(watched); });
    BOOST_TEST(fixture.engine().loadOrders == 0);
    BOOST_TEST(fixture.engine().servedChunks <= sChunks + sMaxExtraChunks);
}
