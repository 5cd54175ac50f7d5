/*
 * test_chunkplan.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "chunkplan.h"
#include "digest.h"
#include "fakelog.h"
#include "manifest.h"

#include <algorithm>
#include <map>
#include <set>

using namespace Loom;

namespace {

constexpr std::uint32_t sChunks = 40;

std::vector<SwarmMember> swarm(int count)
{
    std::vector<SwarmMember> members;
    for (int i = 0; i < count; ++i) {
        members.push_back({"box-" + std::to_string(i), "dc-" + std::to_string(i % 3)});
    }
    return members;
}

/** Chunks that @p self pulls from the origin as their owner. */
std::set<std::uint32_t> originChunksOf(const SwarmMember &self,
                                       const std::vector<SwarmMember> &members,
                                       std::uint32_t copies)
{
    ChunkPlan::Options options;
    options.maxOriginRequests = sChunks;
    options.originCopies = copies;
    ChunkPlan plan("digest", sChunks, self, options, at(0));
    plan.setMembers(members);
    std::set<std::uint32_t> chunks;
    for (const ChunkFetch &fetch : plan.next(at(0))) {
        BOOST_TEST(std::holds_alternative<FromOrigin>(fetch.source));
        chunks.insert(fetch.index);
    }
    return chunks;
}

} // namespace

BOOST_AUTO_TEST_CASE(each_chunk_is_pulled_by_the_configured_number_of_members)
{
    for (const std::uint32_t copies : {1U, 2U, 4U}) {
        const auto members = swarm(12);
        std::map<std::uint32_t, std::uint32_t> pulls;
        for (const SwarmMember &member : members) {
            for (const std::uint32_t index : originChunksOf(member, members, copies)) {
                ++pulls[index];
            }
        }
        BOOST_TEST(pulls.size() == sChunks);
        for (const auto &[index, count] : pulls) {
            BOOST_TEST(count == copies);
        }
    }
}

BOOST_AUTO_TEST_CASE(chunks_of_a_removed_member_are_reassigned)
{
    auto members = swarm(5);
    std::set<std::uint32_t> covered;
    for (std::size_t i = 1; i < members.size(); ++i) {
        const std::vector<SwarmMember> living(members.begin() + 1, members.end());
        covered.merge(originChunksOf(members[i], living, 1));
    }
    BOOST_TEST(covered.size() == sChunks);
}

BOOST_AUTO_TEST_CASE(chunks_of_a_stalled_owner_are_taken_over)
{
    const auto members = swarm(3);
    ChunkPlan::Options options;
    options.maxOriginRequests = sChunks;
    ChunkPlan plan("digest", sChunks, members[0], options, at(0));
    plan.setMembers(members);
    const std::size_t own = plan.next(at(0)).size();
    BOOST_TEST(own < sChunks);
    BOOST_TEST(plan.next(at(1)).empty());
    const Instant later = at(0) + options.maxTakeoverDelay * 2;
    BOOST_TEST(own + plan.next(later).size() == sChunks);
}

BOOST_AUTO_TEST_CASE(chunks_of_dead_owners_are_taken_over_independently)
{
    // Six of twenty members are dead. A chunk that becomes available must not postpone
    // the takeover of chunks that are overdue already.
    const auto members = swarm(20);
    constexpr std::size_t dead = 6;
    constexpr int stepMs = 20;
    constexpr int chunkMs = 100;
    constexpr int takenOverMs = 2'000; // 8 s if each available chunk postpones the others
    ChunkPlan::Options options;
    options.maxTakeoverDelay = Milliseconds(2'000);
    std::vector<ChunkPlan> plans;
    for (const SwarmMember &member : members) {
        plans.emplace_back("digest", sChunks, member, options, at(0));
        plans.back().setMembers(members);
    }
    struct Transfer
    {
        std::size_t to;
        ChunkFetch fetch;
        int endsAt;
    };
    std::vector<Transfer> open;
    const auto deliver = [&](const Transfer &transfer, int time) {
        plans[transfer.to].received(transfer.fetch.index, transfer.fetch.source, at(time));
        for (std::size_t other = dead; other < plans.size(); ++other) {
            plans[other].addPeerChunk(members[transfer.to].box, transfer.fetch.index, at(time));
        }
    };
    const auto isAnywhere = [&](std::uint32_t index) {
        return std::any_of(plans.begin() + dead, plans.end(),
                           [&](const ChunkPlan &plan) { return plan.has(index); });
    };
    int lastFoundAt = 0;
    std::uint32_t found = 0;
    for (int time = 0; time <= 20'000 && found < sChunks; time += stepMs) {
        for (const Transfer &transfer : open) {
            if (transfer.endsAt <= time) {
                deliver(transfer, time);
            }
        }
        std::erase_if(open, [&](const Transfer &one) { return one.endsAt <= time; });
        for (std::size_t self = dead; self < plans.size(); ++self) {
            for (const ChunkFetch &fetch : plans[self].next(at(time))) {
                open.push_back({self, fetch, time + chunkMs});
            }
        }
        std::uint32_t count = 0;
        for (std::uint32_t index = 0; index < sChunks; ++index) {
            count += isAnywhere(index) ? 1 : 0;
        }
        lastFoundAt = count > found ? time : lastFoundAt;
        found = count;
    }
    BOOST_TEST_MESSAGE("the last chunk turned up at " << lastFoundAt << " ms");
    BOOST_TEST(found == sChunks);
    BOOST_TEST(lastFoundAt <= takenOverMs);
}

BOOST_AUTO_TEST_CASE(a_chunk_enters_a_data_centre_once)
{
    auto members = swarm(4);
    members[0].dataCentre = members[1].dataCentre = "here";
    members[2].dataCentre = members[3].dataCentre = "there";
    ChunkPlan::Options options;
    options.maxOriginRequests = 0;
    options.maxPeerRequests = 2 * sChunks;
    options.maxRequestsPerPeer = 2 * sChunks;
    options.hasSingleImport = true;
    std::set<std::uint32_t> imported;
    for (const std::size_t self : {0U, 1U}) {
        ChunkPlan plan("digest", sChunks, members[self], options, at(0));
        plan.setMembers(members);
        for (std::uint32_t index = 0; index < sChunks; ++index) {
            plan.addPeerChunk(members[2].box, index, at(0));
        }
        for (const ChunkFetch &fetch : plan.next(at(10))) {
            BOOST_TEST(imported.insert(fetch.index).second);
        }
        // The other member may be dead; the chunks that it should import are fetched later.
        BOOST_TEST(plan.next(at(0) + options.maxTakeoverDelay * 2).size() > 0U);
    }
    BOOST_TEST(imported.size() == sChunks);
}

BOOST_AUTO_TEST_CASE(rarest_chunks_are_requested_first_within_limits)
{
    const auto members = swarm(4);
    ChunkPlan::Options options;
    options.maxOriginRequests = 0;
    options.maxPeerRequests = 3;
    options.maxRequestsPerPeer = 2;
    ChunkPlan plan("digest", sChunks, members[0], options, at(0));
    plan.setMembers(members);
    for (std::uint32_t index = 0; index < sChunks; ++index) {
        plan.addPeerChunk("box-1", index, at(0));
        plan.addPeerChunk("box-2", index, at(0));
    }
    plan.addPeerChunk("box-3", 7, at(0)); // held by three neighbours, the others by two
    const auto asked = plan.next(at(0));
    BOOST_TEST(asked.size() == 3u);
    BOOST_TEST(std::ranges::none_of(asked, [](const ChunkFetch &f) { return f.index == 7; }));
    std::map<std::string, int> perPeer;
    for (const ChunkFetch &fetch : asked) {
        ++perPeer[std::get<FromPeer>(fetch.source).box];
    }
    for (const auto &[box, count] : perPeer) {
        BOOST_TEST(count <= 2);
    }
    BOOST_TEST(plan.next(at(1)).empty());
}

BOOST_AUTO_TEST_CASE(a_peer_that_sent_a_corrupt_chunk_is_avoided)
{
    const auto members = swarm(2);
    ChunkPlan::Options options;
    options.maxOriginRequests = 0;
    ChunkPlan plan("digest", 4, members[0], options, at(0));
    plan.setMembers(members);
    plan.addPeerChunk("box-1", 0, at(0));
    plan.addPeerChunk("box-1", 1, at(0));
    for (const ChunkFetch &fetch : plan.next(at(0))) {
        plan.failed(fetch.index, fetch.source, ChunkFailure::Corrupt, at(1));
    }
    BOOST_TEST(!plan.has(0));
    BOOST_TEST(plan.next(at(1'000)).empty());
}

BOOST_AUTO_TEST_CASE(the_neighbour_graph_is_connected_for_any_swarm_size)
{
    for (const int count : {2, 3, 12, 97}) {
        const auto members = swarm(count);
        std::map<std::string, std::vector<std::string>> edges;
        for (const SwarmMember &member : members) {
            ChunkPlan plan("digest", 4, member, {}, at(0));
            plan.setMembers(members);
            edges[member.box] = plan.neighbours();
            BOOST_TEST(edges[member.box].size() <= ChunkPlan::Options().neighbourCount + 1);
        }
        std::set<std::string> reached{members[0].box};
        std::vector<std::string> open{members[0].box};
        while (!open.empty()) {
            const std::string box = open.back();
            open.pop_back();
            for (const std::string &next : edges[box]) {
                if (reached.insert(next).second) {
                    open.push_back(next);
                }
            }
        }
        BOOST_TEST(reached.size() == static_cast<std::size_t>(count));
    }
}

BOOST_AUTO_TEST_CASE(a_manifest_covers_every_byte)
{
    std::string weights(10'000, '\0');
    for (std::size_t i = 0; i < weights.size(); ++i) {
        weights[i] = static_cast<char>(i * 31);
    }
    const auto bytes = std::as_bytes(std::span(weights.data(), weights.size()));
    const Manifest made = Manifest::fromWeights("scorer", "v1", bytes, 4'096);
    BOOST_TEST(made.chunkCount() == 3u);
    BOOST_TEST(made.chunkSize(2) == 10'000u - 2 * 4'096u);
    const auto parsed = Manifest::parse(made.text());
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed->text() == made.text());
    weights[5'000] ^= 1;
    BOOST_TEST(Manifest::fromWeights("scorer", "v1", bytes, 4'096).text() != made.text());
    BOOST_TEST(!Manifest::parse("{}").has_value());
    BOOST_TEST(!Manifest::parse("no").has_value());
}

BOOST_AUTO_TEST_CASE(a_chunk_held_only_by_a_slow_peer_is_pulled_from_the_origin)
{
    // All chunks but one are stored. The missing one was requested from its only holder,
    // which does not send it.
    const auto members = swarm(4);
    ChunkPlan::Options options;
    options.maxOriginRequests = 1;
    std::uint32_t pulls = 0;
    for (std::size_t self = 1; self < members.size(); ++self) {
        ChunkPlan plan("digest", sChunks, members[self], options, at(0));
        plan.setMembers(members);
        for (std::uint32_t index = 1; index < sChunks; ++index) {
            plan.received(index, FromPeer{members[0].box}, at(1'000));
        }
        plan.addPeerChunk(members[0].box, 0, at(1'000));
        for (const ChunkFetch &fetch : plan.next(at(1'000))) {
            // The chunk is requested from its holder, or from the origin by its owner.
            BOOST_TEST(fetch.index == 0U);
        }
        BOOST_TEST(plan.next(at(1'100)).empty());
        for (const ChunkFetch &fetch : plan.next(at(4'000))) {
            BOOST_TEST(std::holds_alternative<FromOrigin>(fetch.source));
            ++pulls;
        }
        // The chunk may come from both sources, but counts once.
        plan.received(0, FromOrigin{}, at(4'050));
        BOOST_TEST(plan.isComplete());
        BOOST_TEST(plan.next(at(9'000)).empty());
    }
    BOOST_TEST(pulls >= 1U);
    BOOST_TEST(pulls <= 3U);
}

BOOST_AUTO_TEST_CASE(chunks_of_an_owner_without_origin_access_are_taken_over_early)
{
    // The first member cannot reach the origin; the others have pulled their chunks.
    const auto members = swarm(5);
    constexpr std::size_t cutOff = 0;
    ChunkPlan::Options options;
    options.maxOriginRequests = sChunks;
    std::vector<ChunkPlan> plans;
    std::vector<std::vector<std::uint32_t>> owned(members.size());
    for (std::size_t self = 0; self < members.size(); ++self) {
        plans.emplace_back("digest", sChunks, members[self], options, at(0));
        plans.back().setMembers(members);
        for (const ChunkFetch &fetch : plans.back().next(at(0))) {
            owned[self].push_back(fetch.index);
        }
    }
    std::set<std::uint32_t> pulled;
    for (std::size_t self = 1; self < members.size(); ++self) {
        for (std::size_t other = 1; other < members.size(); ++other) {
            for (const std::uint32_t index : owned[other]) {
                if (other == self) {
                    plans[self].received(index, FromOrigin{}, at(1'000));
                } else {
                    plans[self].addPeerChunk(members[other].box, index, at(1'000));
                    plans[self].addStored(index);
                }
            }
        }
        BOOST_TEST(plans[self].next(at(1'050)).empty());
        // The takeover comes well before the default maxTakeoverDelay of 4 s.
        for (const ChunkFetch &fetch : plans[self].next(at(2'300))) {
            pulled.insert(fetch.index);
        }
    }
    BOOST_TEST(pulled.size() == owned[cutOff].size());
}

BOOST_AUTO_TEST_CASE(failed_origin_pulls_are_retried_with_exponential_backoff)
{
    const auto members = swarm(1);
    ChunkPlan::Options options;
    options.maxOriginRequests = sChunks;
    ChunkPlan plan("digest", sChunks, members[0], options, at(0));
    plan.setMembers(members);
    BOOST_TEST(plan.next(at(0)).size() == sChunks);
    plan.failed(0, FromOrigin{}, ChunkFailure::Corrupt, at(100));
    BOOST_TEST(plan.next(at(110)).empty());
    BOOST_TEST(plan.next(at(130)).size() == 1U);
    int tries = 0;
    for (int time = 140; time < 4'140; time += 10) {
        if (tries == 0 || !plan.next(at(time)).empty()) {
            plan.failed(0, FromOrigin{}, ChunkFailure::Gone, at(time));
            ++tries;
        }
    }
    BOOST_TEST(tries >= 10);
    BOOST_TEST(tries <= 16);
}

// Guards against simultaneous pulls after an outage of the store. Two versions were
// published during the outage, and all agents learned of the second one 6 s late, when
// every turn had passed. They pulled at once and had nothing to forward until the origin
// had sent nearly all chunks:
//   weights-named   version=3 (all boxes, 26.0 to 26.5 s; published at 20.0 s)
//   weights-fetched version=3 (first at 31.0 s; the origin sends a copy in 2.1 s)
BOOST_AUTO_TEST_CASE(origin_pulls_of_a_version_learned_late_are_staggered)
{
    constexpr std::uint32_t chunks = 48;
    ChunkPlan::Options options;
    options.maxOriginRequests = chunks;
    options.originPullInterval = Milliseconds(37);
    options.originPullStart = at(1'000);
    ChunkPlan late("digest", chunks, {"box", "dc"}, options, at(10'000));
    BOOST_TEST(late.next(at(10'000)).size() == 1U);
    BOOST_TEST(late.next(at(10'000 + 37 * 10)).size() == 10U);
    // If only some turns have passed, those chunks are pulled at once.
    ChunkPlan sooner("digest", chunks, {"box", "dc"}, options, at(1'370));
    BOOST_TEST(sooner.next(at(1'370)).size() == 11U);
}

// Guards against a stall after owners are killed shortly before the origin fails: the next
// member in order waited half a second after the chunk's turn although it could have known.
BOOST_AUTO_TEST_CASE(pulls_of_a_lost_owner_are_taken_over_at_their_turn)
{
    const auto members = swarm(8);
    constexpr int intervalMs = 37;
    ChunkPlan::Options options;
    options.maxOriginRequests = sChunks;
    options.originPullInterval = Milliseconds(intervalMs);
    std::set<std::uint32_t> lost;
    std::set<std::uint32_t> takenOver;
    for (const bool isLost : {false, true}) {
        for (const SwarmMember &member : members) {
            ChunkPlan plan("digest", sChunks, member, options, at(0));
            plan.setMembers(members);
            const bool isVictim = member.box == members[0].box;
            if (isLost && !isVictim) {
                plan.setPeerLost(members[0].box, at(10));
            }
            for (const ChunkFetch &fetch : plan.next(at(sChunks * intervalMs))) {
                const bool isOwner = fetch.originRank == 0;
                if (isOwner && isVictim) {
                    lost.insert(fetch.index);
                }
                if (!isOwner) {
                    BOOST_TEST(isLost);
                    BOOST_TEST(takenOver.insert(fetch.index).second); // by one member only
                }
            }
        }
    }
    BOOST_TEST(!lost.empty());
    BOOST_TEST((takenOver == lost));
}

BOOST_AUTO_TEST_CASE(chunks_of_a_reconnected_owner_are_not_taken_over)
{
    const auto members = swarm(8);
    ChunkPlan::Options options;
    options.maxOriginRequests = sChunks;
    options.originPullInterval = Milliseconds(37);
    for (const SwarmMember &member : members) {
        ChunkPlan plan("digest", sChunks, member, options, at(0));
        plan.setMembers(members);
        for (const SwarmMember &other : members) {
            plan.setPeerLost(other.box, at(1'000));
            plan.setPeerConnected(other.box, true);
        }
        for (const ChunkFetch &fetch : plan.next(at(1'490))) {
            BOOST_TEST(fetch.originRank == 0U);
        }
    }
}

// Guards against double pulls while boxes of an earlier version are replaced one by one.
BOOST_AUTO_TEST_CASE(owners_that_do_not_announce_pulls_get_the_longer_delay)
{
    const auto members = swarm(8);
    constexpr int intervalMs = 37;
    for (const bool announcesPulls : {false, true}) {
        std::size_t takenOver = 0;
        for (const SwarmMember &member : members) {
            ChunkPlan::Options options;
            options.maxOriginRequests = sChunks;
            options.originPullInterval = Milliseconds(intervalMs);
            ChunkPlan plan("digest", sChunks, member, options, at(0));
            plan.setMembers(members);
            plan.setPeerConnected(members[0].box, announcesPulls);
            plan.addPeerChunk(members[0].box, 0, at(100));
            for (const ChunkFetch &fetch : plan.next(at(sChunks * intervalMs))) {
                takenOver += fetch.originRank > 0 ? 1 : 0;
            }
        }
        BOOST_TEST((takenOver > 0) == announcesPulls);
    }
}
