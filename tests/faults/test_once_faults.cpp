/*
 * test_once_faults.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#define BOOST_TEST_MODULE faults
#include <boost/test/unit_test.hpp>

#include "callgate.h"
#include "claimtable.h"
#include "fakelog.h"
#include "idempotencykey.h"
#include "matrix.h"

using namespace Loom;

namespace {

constexpr WallMilliseconds sWall{1'700'000'000'000};
const std::vector<std::string> sSteps{"claim", "read back", "send", "begin", "run", "answer"};
enum Step : std::size_t
{
    Claim,
    ReadBack,
    Send,
    Begin,
    Run,
    Answer
};

/** A caller's own key meets entries, the claim stream, two homes and an upstream. */
class OnceWorld
{
public:
    explicit OnceWorld(FaultPlan &plan)
        : mPlan(plan)
        , mKey(makeUuid7(sWall, 1, 2))
    {
        for (std::size_t home = 0; home < 2; ++home) {
            mGates.emplace_back(CallGate(1));
            ready(mGates.back());
        }
    }

    std::optional<std::string> play()
    {
        // The caller hears nothing certain and asks other entries, again and again.
        for (int round = 0; round < 4; ++round) {
            const Outcome told = request(static_cast<std::size_t>(round) % 2);
            deliverHeld();
            if (std::holds_alternative<Answered>(told) && mRuns != 1) {
                return "answered without one run: " + std::to_string(mRuns);
            }
            mToldNotRun = mToldNotRun || std::holds_alternative<NotRun>(told);
            if (mRuns > 1) {
                return "ran " + std::to_string(mRuns) + " times";
            }
            if (mToldNotRun && mRuns > 0) {
                return "called not run, and ran";
            }
        }
        return std::nullopt;
    }

private:
    struct Held
    {
        std::size_t home;
        GateCall call;
    };

    static void ready(CallGate &gate)
    {
        gate.setCapacity(4);
        gate.setUpstreamAlive(true);
    }

    Instant now() { return at(++mMilliseconds); }

    Outcome request(std::size_t entry)
    {
        ClaimTable &table = mTables[entry];
        if (!table.home(mKey)) {
            claim(entry);
        }
        const bool logDown = mPlan.strikes(Fault::LogDown, ReadBack);
        if (!logDown) {
            table.feed(mLog.read(table.nextOffset(), now()), mLog.first(), sWall, now());
        }
        const auto home = table.home(mKey);
        if (!home) {
            return Unknown{UnknownReason::NotSettled};
        }
        return hand(home->box == "home-0" ? 0 : 1, home->incarnation);
    }

    void claim(std::size_t entry)
    {
        if (mPlan.strikes(Fault::LogDown, Claim)) {
            return;
        }
        // Each entry would rather have its own home.
        wire::ClaimBatch batch;
        wire::KeyClaim &one = *batch.add_claims();
        one.set_key(mKey);
        one.set_home_box("home-" + std::to_string(entry));
        one.set_home_incarnation(mGates[entry].incarnation());
        if (mPlan.strikes(Fault::Delay, Claim)) {
            mLateClaims.push_back(batch.SerializeAsString());
            return;
        }
        mLog.append(batch.SerializeAsString(), now());
        if (mPlan.strikes(Fault::LostAnswer, Claim)) {
            mLog.append(batch.SerializeAsString(), now()); // sent again
        }
        if (mPlan.strikes(Fault::OperatorRace, Claim)) {
            one.set_home_box("home-" + std::to_string(1 - entry));
            mLog.append(batch.SerializeAsString(), now());
        }
        strikeHome(Claim);
    }

    void strikeHome(std::size_t step)
    {
        for (std::size_t home = 0; home < mGates.size(); ++home) {
            if (mPlan.strikes(Fault::Kill, step)) {
                kill(home);
            }
        }
    }

    void kill(std::size_t home)
    {
        const std::uint64_t next = mGates[home].incarnation() + 1;
        mGates[home] = CallGate(next);
        ready(mGates[home]);
    }

    Outcome hand(std::size_t home, std::uint64_t incarnation)
    {
        GateCall call;
        call.attempt = {"entry#1", ++mSequence};
        call.idempotencyKey = mKey;
        call.homeIncarnation = incarnation;
        call.keyExpires = sWall + sKeyLifetime;
        call.timeLeft = Milliseconds(1'000);
        if (mPlan.strikes(Fault::Kill, Send)) {
            kill(home);
        }
        if (mPlan.strikes(Fault::Cut, Send)) {
            return giveUp(home, call);
        }
        const bool late = mPlan.strikes(Fault::Delay, Send);
        const bool frozen = mPlan.strikes(Fault::Freeze, Begin);
        if (late || frozen) {
            mHeld.push_back({home, call});
            // A frozen home answers no revocation either; a late copy may be revoked.
            return frozen ? Outcome(Unknown{UnknownReason::LinkCut}) : giveUp(home, call);
        }
        if (mPlan.strikes(Fault::VersionChange, Begin)) {
            call.version = "v2"; // not loaded there
        }
        return admit(home, call);
    }

    Outcome giveUp(std::size_t home, const GateCall &call)
    {
        const bool revoked = mGates[home].revoke(call.attempt, now()) == RevokeResult::Revoked;
        // For a caller's key a revoked attempt says nothing of its other copies.
        return revoked ? Unknown{UnknownReason::NotSettled} : Unknown{UnknownReason::LinkCut};
    }

    Outcome admit(std::size_t home, const GateCall &call)
    {
        CallGate &gate = mGates[home];
        const GateDecision decision = gate.admit(call, sWall, now());
        if (const auto *refuse = std::get_if<GateRefuse>(&decision)) {
            return refuse->isKeySpent ? Outcome(refuse->refusal)
                                      : Outcome(Unknown{UnknownReason::NotSettled});
        }
        if (const auto *replay = std::get_if<GateReplay>(&decision)) {
            return Answered{replay->answer.status};
        }
        if (!std::holds_alternative<GateRun>(decision)) {
            return Unknown{UnknownReason::HomeGone};
        }
        return run(home, call);
    }

    Outcome run(std::size_t home, const GateCall &call)
    {
        if (mPlan.strikes(Fault::Kill, Begin)) {
            kill(home); // begun, not yet with the upstream
            return Unknown{UnknownReason::LinkCut};
        }
        if (mPlan.strikes(Fault::Cut, Begin)) { // the upstream cannot be reached
            mGates[home].complete(call, NotRun{RefusalReason::UpstreamUnreachable, {}}, "", now());
            return NotRun{RefusalReason::UpstreamUnreachable, {}};
        }
        ++mRuns;
        if (mPlan.strikes(Fault::Kill, Run)) {
            kill(home);
            return Unknown{UnknownReason::LinkCut};
        }
        const bool lost = mPlan.strikes(Fault::LostAnswer, Run) || mPlan.strikes(Fault::Cut, Run);
        const Outcome outcome
            = lost ? Outcome(Unknown{UnknownReason::UpstreamCut}) : Outcome(Answered{200});
        mGates[home].complete(call, outcome, "whole", now());
        if (mPlan.strikes(Fault::Kill, Answer)) {
            kill(home);
            return Unknown{UnknownReason::LinkCut};
        }
        if (mPlan.strikes(Fault::Cut, Answer)) {
            return giveUp(home, call);
        }
        return outcome;
    }

    void deliverHeld()
    {
        for (const Held &held : std::exchange(mHeld, {})) {
            admit(held.home, held.call);
        }
        for (const std::string &claim : std::exchange(mLateClaims, {})) {
            mLog.append(claim, now());
        }
    }

    FaultPlan &mPlan;
    std::string mKey;
    FakeLog mLog;
    std::array<ClaimTable, 2> mTables;
    std::vector<CallGate> mGates;
    std::vector<Held> mHeld;
    std::vector<std::string> mLateClaims;
    std::uint64_t mSequence = 0;
    std::int64_t mMilliseconds = 0;
    int mRuns = 0;
    bool mToldNotRun = false;
};

} // namespace

BOOST_AUTO_TEST_CASE(at_most_once_under_every_fault_and_pair)
{
    const MatrixResult result
        = runMatrix("at most once", sSteps, [](FaultPlan &plan) { return OnceWorld(plan).play(); });
    BOOST_TEST_MESSAGE(result.text);
    for (const std::string &broken : result.broken) {
        BOOST_ERROR(broken);
    }
    BOOST_TEST(result.single >= 20u);
    BOOST_TEST(result.pairs >= 150u);
}
