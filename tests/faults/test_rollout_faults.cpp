/*
 * test_rollout_faults.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "chunkplan.h"
#include "fakelog.h"
#include "matrix.h"
#include "versionswitch.h"

#include <map>

using namespace Loom;

namespace {

const std::vector<std::string> sSteps{"fetch", "verify", "order", "load", "report"};
enum Step : std::size_t
{
    Fetch,
    Verify,
    Order,
    Load,
    Report
};
constexpr std::uint32_t sChunks = 4;
constexpr std::uint32_t sCorrupt = 99;

/** An engine that loads whatever it is handed, and says so. */
struct FakeEngine
{
    std::map<std::string, std::vector<std::uint32_t>> loaded; ///< version -> chunk contents
};

/** Three agents bring v1, then v2 (or v3 in its place), to their engines. */
class RolloutWorld
{
public:
    explicit RolloutWorld(FaultPlan &plan)
        : mPlan(plan)
    {
        for (std::size_t i = 0; i < mAgents.size(); ++i) {
            mMembers.push_back({"box-" + std::to_string(i), "dc"});
            setTargets(mAgents[i], "v1");
        }
    }

    std::optional<std::string> play()
    {
        std::string wanted = "v1";
        for (int tick = 0; tick < 4'000; ++tick) {
            if (tick == 1'000) {
                wanted = "v2";
                retarget(wanted);
            }
            if (mSuperseded && wanted == "v2") {
                wanted = "v3";
                retarget(wanted);
            }
            for (std::size_t i = 0; i < mAgents.size(); ++i) {
                step(i, at(tick * 10));
                if (const auto broken = judge(mAgents[i])) {
                    return broken;
                }
            }
        }
        for (const Agent &agent : mAgents) {
            if (!agent.versions.serves(wanted)) {
                return wanted + " never served";
            }
        }
        return std::nullopt;
    }

private:
    struct Agent
    {
        VersionSwitch versions;
        std::optional<ChunkPlan> plan;
        std::string fetching;
        std::map<std::string, std::vector<std::uint32_t>> chunks; ///< by version
        std::optional<std::string> ordered;
        FakeEngine engine;
        Instant frozenUntil;
        bool hasServed = false; ///< since its agent's and its engine's last loss
    };

    static std::uint32_t contentOf(const std::string &version)
    {
        return static_cast<std::uint32_t>(version.back() - '0');
    }

    static void setTargets(Agent &agent, const std::string &version)
    {
        agent.versions.setTargets(VersionTarget{version, "digest-" + version}, std::nullopt);
    }

    void retarget(const std::string &version)
    {
        mWanted = version;
        for (Agent &agent : mAgents) {
            setTargets(agent, version);
        }
    }

    void step(std::size_t index, Instant now)
    {
        Agent &agent = mAgents[index];
        if (now < agent.frozenUntil) {
            return;
        }
        // Faults strike while the second version is on its way.
        mArmed = mWanted != "v1";
        for (const SwitchAction &action : agent.versions.next(now, true)) {
            perform(index, action, now);
        }
        fetch(index, now);
        report(agent, now);
    }

    bool strikes(Fault fault, std::size_t step) { return mArmed && mPlan.strikes(fault, step); }

    void restart(Agent &agent)
    {
        agent.versions = VersionSwitch();
        agent.hasServed = false;
        setTargets(agent, mWanted);
        agent.plan.reset();
    }

    void perform(std::size_t index, const SwitchAction &action, Instant now)
    {
        Agent &agent = mAgents[index];
        if (const auto *start = std::get_if<StartFetch>(&action)) {
            agent.fetching = start->target.version;
            agent.plan.emplace(start->target.manifestDigest, sChunks, mMembers[index],
                               ChunkPlan::Options{}, now);
            agent.plan->setMembers(mMembers);
            agent.chunks[agent.fetching].assign(sChunks, 0);
        } else if (std::holds_alternative<StopFetch>(action)) {
            agent.plan.reset();
        } else if (const auto *load = std::get_if<OrderLoad>(&action)) {
            order(agent, load->target.version, now);
        } else if (const auto *unload = std::get_if<OrderUnload>(&action)) {
            agent.engine.loaded.erase(unload->version);
            agent.versions.orderEnded(unload->version, true, now);
        }
    }

    void order(Agent &agent, const std::string &version, Instant now)
    {
        if (strikes(Fault::Cut, Order) || strikes(Fault::LogDown, Order)) {
            agent.versions.orderEnded(version, false, now); // no lease, or it never arrived
            return;
        }
        if (strikes(Fault::Kill, Order)) {
            restart(agent);
            return;
        }
        if (strikes(Fault::Freeze, Order)) {
            agent.frozenUntil = now + Milliseconds(3'000);
        }
        agent.engine.loaded[version] = agent.chunks[version];
        if (strikes(Fault::Kill, Load)) { // the engine dies
            agent.engine.loaded.clear();
            agent.hasServed = false;
            agent.versions.clearEngineReport();
        }
        const bool answerLost = strikes(Fault::LostAnswer, Load);
        agent.versions.orderEnded(version, !answerLost, now);
    }

    void fetch(std::size_t index, Instant now)
    {
        Agent &agent = mAgents[index];
        if (!agent.plan || agent.plan->isComplete()) {
            return;
        }
        if (strikes(Fault::Kill, Fetch)) {
            restart(agent);
            return;
        }
        if (strikes(Fault::Freeze, Fetch)) {
            agent.frozenUntil = now + Milliseconds(3'000);
            return;
        }
        if (strikes(Fault::VersionChange, Fetch)) {
            mSuperseded = true;
        }
        followNeighbours(index, now);
        for (const ChunkFetch &wanted : agent.plan->next(now)) {
            take(agent, wanted, now);
        }
        if (agent.plan->isComplete()) {
            if (strikes(Fault::VersionChange, Verify)) {
                mSuperseded = true;
            }
            agent.versions.markFetched(agent.fetching, "digest-" + agent.fetching);
        }
    }

    void followNeighbours(std::size_t index, Instant now)
    {
        Agent &agent = mAgents[index];
        for (std::size_t other = 0; other < mAgents.size(); ++other) {
            const Agent &peer = mAgents[other];
            if (other == index || !peer.plan || peer.fetching != agent.fetching) {
                continue;
            }
            for (std::uint32_t chunk = 0; chunk < sChunks; ++chunk) {
                if (peer.plan->has(chunk)) {
                    agent.plan->addPeerChunk(mMembers[other].box, chunk, now);
                }
            }
        }
    }

    void take(Agent &agent, const ChunkFetch &wanted, Instant now)
    {
        if (strikes(Fault::Cut, Fetch)) {
            agent.plan->failed(wanted.index, wanted.source, ChunkFailure::Gone, now);
            return;
        }
        const std::uint32_t content
            = strikes(Fault::Corrupt, Verify) ? sCorrupt : contentOf(agent.fetching);
        const bool intact = content == contentOf(agent.fetching); // as the digest tells
        if (!intact) {
            agent.plan->failed(wanted.index, wanted.source, ChunkFailure::Corrupt, now);
            return;
        }
        agent.chunks[agent.fetching][wanted.index] = content;
        agent.plan->received(wanted.index, wanted.source, now);
    }

    void report(Agent &agent, Instant now)
    {
        if (strikes(Fault::Delay, Report)) {
            return;
        }
        if (strikes(Fault::Cut, Report)) {
            agent.versions.clearEngineReport();
            agent.hasServed = false;
            return;
        }
        std::vector<LoadedVersion> loaded;
        for (const auto &[version, chunks] : agent.engine.loaded) {
            loaded.push_back({version, "digest-" + version});
        }
        agent.versions.setEngineReport(loaded, now);
    }

    static std::optional<std::string> judge(Agent &agent)
    {
        const bool serves = !agent.versions.announced().empty();
        if (agent.hasServed && !serves) {
            return "a replica that served has stopped serving anything";
        }
        agent.hasServed = serves;
        for (const std::string &version : agent.versions.announced()) {
            const auto it = agent.engine.loaded.find(version);
            const std::vector<std::uint32_t> whole(sChunks, contentOf(version));
            if (it != agent.engine.loaded.end() && it->second != whole) {
                return version + " announced with partial or mixed weights";
            }
        }
        return std::nullopt;
    }

    FaultPlan &mPlan;
    std::array<Agent, 3> mAgents;
    std::vector<SwarmMember> mMembers;
    std::string mWanted = "v1";
    bool mSuperseded = false;
    bool mArmed = false;
};

} // namespace

BOOST_AUTO_TEST_CASE(rollout_under_every_fault_and_pair)
{
    const MatrixResult result
        = runMatrix("rollout", sSteps, [](FaultPlan &plan) { return RolloutWorld(plan).play(); });
    BOOST_TEST_MESSAGE(result.text);
    for (const std::string &broken : result.broken) {
        BOOST_ERROR(broken);
    }
    BOOST_TEST(result.single >= 14u);
    BOOST_TEST(result.pairs >= 80u);
}
