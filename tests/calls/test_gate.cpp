/*
 * test_gate.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#define BOOST_TEST_MODULE calls
#include <boost/test/unit_test.hpp>

#include "callgate.h"
#include "fakelog.h"
#include "oncekey.h"

using namespace Loom;

namespace {

constexpr WallMilliseconds sWall{1'700'000'000'000};
constexpr std::uint64_t sLife = 7;

CallGate readyGate()
{
    CallGate gate(sLife);
    gate.setCapacity(2);
    gate.setUpstreamAlive(true);
    gate.setVersions({"v1"});
    return gate;
}

GateCall call(std::uint64_t sequence, const std::string &key = {})
{
    GateCall made;
    made.attempt = {"entry#1", sequence};
    made.version = "v1";
    made.timeLeft = Milliseconds(1'000);
    made.onceKey = key;
    made.homeIncarnation = sLife;
    made.keyExpires = sWall + sKeyWindow;
    return made;
}

template <class T> bool is(const GateDecision &decision)
{
    return std::holds_alternative<T>(decision);
}

RefusalReason refusalOf(const GateDecision &decision)
{
    BOOST_REQUIRE(is<GateRefuse>(decision));
    return std::get<GateRefuse>(decision).refusal.reason;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_revoked_attempt_never_starts)
{
    CallGate gate = readyGate();
    BOOST_TEST((gate.revoke({"entry#1", 5}, at(1)) == RevokeResult::Revoked));
    BOOST_TEST((refusalOf(gate.arrive(call(5), sWall, at(2))) == RefusalReason::Revoked));
    // The other order: what has started cannot be called "not run".
    BOOST_TEST(is<GateRun>(gate.arrive(call(6), sWall, at(3))));
    BOOST_TEST((gate.revoke({"entry#1", 6}, at(4)) == RevokeResult::Started));
}

BOOST_AUTO_TEST_CASE(a_copy_of_an_attempt_is_refused)
{
    CallGate gate = readyGate();
    BOOST_TEST(is<GateRun>(gate.arrive(call(1), sWall, at(1))));
    BOOST_TEST((refusalOf(gate.arrive(call(1), sWall, at(2))) == RefusalReason::Revoked));
}

BOOST_AUTO_TEST_CASE(what_was_forgotten_is_neither_run_nor_called_not_run)
{
    AttemptLedger ledger;
    BOOST_TEST(ledger.start({"e", 1}, at(0)));
    const Instant later = at(0) + AttemptLedger::sKept + Milliseconds(1);
    BOOST_TEST(ledger.start({"e", 2}, later));
    BOOST_TEST((ledger.revoke({"e", 1}, later) == RevokeResult::TooOld));
    BOOST_TEST(!ledger.start({"e", 1}, later));
}

BOOST_AUTO_TEST_CASE(refusals_are_exact_and_typed)
{
    CallGate gate = readyGate();
    GateCall late = call(1);
    late.timeLeft = Milliseconds(0);
    BOOST_TEST((refusalOf(gate.arrive(late, sWall, at(1))) == RefusalReason::DeadlinePassed));
    GateCall other = call(2);
    other.version = "v2";
    BOOST_TEST((refusalOf(gate.arrive(other, sWall, at(1))) == RefusalReason::VersionNotLoaded));
    BOOST_TEST(is<GateRun>(gate.arrive(call(3), sWall, at(1))));
    BOOST_TEST(is<GateRun>(gate.arrive(call(4), sWall, at(1))));
    BOOST_TEST((refusalOf(gate.arrive(call(5), sWall, at(1))) == RefusalReason::Overloaded));
    gate.ended(call(3), Answered{200}, "", at(2));
    BOOST_TEST(is<GateRun>(gate.arrive(call(6), sWall, at(3))));
    gate.setLeaving();
    gate.ended(call(4), Answered{200}, "", at(4));
    BOOST_TEST((refusalOf(gate.arrive(call(7), sWall, at(5))) == RefusalReason::UpstreamLeaving));
}

BOOST_AUTO_TEST_CASE(a_key_runs_once_and_its_repeats_get_its_answer)
{
    CallGate gate = readyGate();
    BOOST_TEST(is<GateRun>(gate.arrive(call(1, "k"), sWall, at(1))));
    BOOST_TEST(is<GateWait>(gate.arrive(call(2, "k"), sWall, at(2))));
    gate.ended(call(1, "k"), Answered{201}, "whole", at(3));
    const GateDecision repeat = gate.arriveAgain(call(2, "k"), sWall, at(4));
    BOOST_REQUIRE(is<GateReplay>(repeat));
    BOOST_TEST(std::get<GateReplay>(repeat).answer.body == "whole");
    BOOST_TEST(std::get<GateReplay>(repeat).answer.status == 201);
}

BOOST_AUTO_TEST_CASE(a_key_whose_end_is_unknown_never_runs_again)
{
    CallGate gate = readyGate();
    gate.arrive(call(1, "k"), sWall, at(1));
    gate.ended(call(1, "k"), Unknown{UnknownReason::UpstreamCut}, "", at(2));
    BOOST_TEST(is<GateUnknown>(gate.arrive(call(2, "k"), sWall, at(3))));
}

BOOST_AUTO_TEST_CASE(a_key_refused_once_is_refused_for_good)
{
    CallGate gate = readyGate();
    gate.setUpstreamAlive(false);
    const GateDecision first = gate.arrive(call(1, "k"), sWall, at(1));
    BOOST_REQUIRE(is<GateRefuse>(first));
    BOOST_TEST(std::get<GateRefuse>(first).isKeySpent);
    gate.setUpstreamAlive(true);
    const GateDecision repeat = gate.arrive(call(2, "k"), sWall, at(2));
    BOOST_REQUIRE(is<GateRefuse>(repeat));
    BOOST_TEST(std::get<GateRefuse>(repeat).isKeySpent);
}

BOOST_AUTO_TEST_CASE(a_key_runs_in_no_other_life_of_its_home)
{
    CallGate next(sLife + 1);
    next.setCapacity(2);
    next.setUpstreamAlive(true);
    next.setVersions({"v1"});
    const GateDecision decision = next.arrive(call(1, "k"), sWall, at(1));
    BOOST_REQUIRE(is<GateUnknown>(decision));
    BOOST_TEST((std::get<GateUnknown>(decision).reason == UnknownReason::HomeGone));
}

BOOST_AUTO_TEST_CASE(a_key_is_remembered_for_longer_than_it_may_be_used)
{
    CallGate gate = readyGate();
    gate.arrive(call(1, "k"), sWall, at(1));
    gate.ended(call(1, "k"), Answered{200}, "", at(2));
    // Clocks of boxes differ by up to sClockSkew in either direction.
    const Milliseconds last = sKeyWindow + sClockSkew;
    BOOST_TEST(is<GateReplay>(gate.arrive(call(2, "k"), sWall + last, at(1) + last)));
    BOOST_TEST(is<GateUnknown>(gate.arrive(call(3, "fresh"), sWall + last, at(1) + last)));
}

BOOST_AUTO_TEST_CASE(a_key_that_would_outlive_its_memory_is_refused)
{
    CallGate gate = readyGate();
    GateCall odd = call(1, "k");
    odd.keyExpires = sWall + 10 * sKeyWindow;
    BOOST_TEST(is<GateUnknown>(gate.arrive(odd, sWall, at(1))));
}
