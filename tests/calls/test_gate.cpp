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
#include "idempotencykey.h"

using namespace Loom;

namespace {

constexpr WallMilliseconds sWall{1'700'000'000'000};
constexpr std::uint64_t sIncarnation = 7;

CallGate readyGate()
{
    CallGate gate(sIncarnation);
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
    made.idempotencyKey = key;
    made.homeIncarnation = sIncarnation;
    made.keyExpires = sWall + sKeyLifetime;
    return made;
}

template <class T> bool holds(const GateDecision &decision)
{
    return std::holds_alternative<T>(decision);
}

RefusalReason refusalOf(const GateDecision &decision)
{
    BOOST_REQUIRE(holds<GateRefuse>(decision));
    return std::get<GateRefuse>(decision).refusal.reason;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_revoked_attempt_never_starts)
{
    CallGate gate = readyGate();
    BOOST_TEST((gate.revoke({"entry#1", 5}, at(1)) == RevokeResult::Revoked));
    BOOST_TEST((refusalOf(gate.admit(call(5), sWall, at(2))) == RefusalReason::Revoked));
    // An attempt that has started cannot be reported as "not run".
    BOOST_TEST(holds<GateRun>(gate.admit(call(6), sWall, at(3))));
    BOOST_TEST((gate.revoke({"entry#1", 6}, at(4)) == RevokeResult::Started));
}

BOOST_AUTO_TEST_CASE(a_duplicate_attempt_is_refused)
{
    CallGate gate = readyGate();
    BOOST_TEST(holds<GateRun>(gate.admit(call(1), sWall, at(1))));
    BOOST_TEST((refusalOf(gate.admit(call(1), sWall, at(2))) == RefusalReason::Revoked));
}

BOOST_AUTO_TEST_CASE(an_expired_attempt_can_neither_start_nor_be_revoked)
{
    AttemptLedger ledger;
    BOOST_TEST(ledger.tryStart({"e", 1}, at(0)));
    const Instant later = at(0) + AttemptLedger::sRetention + Milliseconds(1);
    BOOST_TEST(ledger.tryStart({"e", 2}, later));
    BOOST_TEST((ledger.revoke({"e", 1}, later) == RevokeResult::TooOld));
    BOOST_TEST(!ledger.tryStart({"e", 1}, later));
}

BOOST_AUTO_TEST_CASE(refusals_carry_their_reason)
{
    CallGate gate = readyGate();
    GateCall late = call(1);
    late.timeLeft = Milliseconds(0);
    BOOST_TEST((refusalOf(gate.admit(late, sWall, at(1))) == RefusalReason::DeadlinePassed));
    GateCall other = call(2);
    other.version = "v2";
    BOOST_TEST((refusalOf(gate.admit(other, sWall, at(1))) == RefusalReason::VersionNotLoaded));
    BOOST_TEST(holds<GateRun>(gate.admit(call(3), sWall, at(1))));
    BOOST_TEST(holds<GateRun>(gate.admit(call(4), sWall, at(1))));
    BOOST_TEST((refusalOf(gate.admit(call(5), sWall, at(1))) == RefusalReason::Overloaded));
    gate.complete(call(3), Answered{200}, "", at(2));
    BOOST_TEST(holds<GateRun>(gate.admit(call(6), sWall, at(3))));
    gate.setLeaving();
    gate.complete(call(4), Answered{200}, "", at(4));
    BOOST_TEST((refusalOf(gate.admit(call(7), sWall, at(5))) == RefusalReason::UpstreamLeaving));
}

BOOST_AUTO_TEST_CASE(a_key_runs_once_and_repeats_get_the_stored_answer)
{
    CallGate gate = readyGate();
    BOOST_TEST(holds<GateRun>(gate.admit(call(1, "k"), sWall, at(1))));
    BOOST_TEST(holds<GateWait>(gate.admit(call(2, "k"), sWall, at(2))));
    gate.complete(call(1, "k"), Answered{201}, "whole", at(3));
    const GateDecision repeat = gate.admitAfterWait(call(2, "k"), sWall, at(4));
    BOOST_REQUIRE(holds<GateReplay>(repeat));
    BOOST_TEST(std::get<GateReplay>(repeat).answer.body == "whole");
    BOOST_TEST(std::get<GateReplay>(repeat).answer.status == 201);
}

BOOST_AUTO_TEST_CASE(a_key_with_unknown_outcome_never_runs_again)
{
    CallGate gate = readyGate();
    gate.admit(call(1, "k"), sWall, at(1));
    gate.complete(call(1, "k"), Unknown{UnknownReason::UpstreamCut}, "", at(2));
    BOOST_TEST(holds<GateUnknown>(gate.admit(call(2, "k"), sWall, at(3))));
}

BOOST_AUTO_TEST_CASE(a_refused_key_is_refused_on_every_repeat)
{
    CallGate gate = readyGate();
    gate.setUpstreamAlive(false);
    const GateDecision first = gate.admit(call(1, "k"), sWall, at(1));
    BOOST_REQUIRE(holds<GateRefuse>(first));
    BOOST_TEST(std::get<GateRefuse>(first).isKeySpent);
    gate.setUpstreamAlive(true);
    const GateDecision repeat = gate.admit(call(2, "k"), sWall, at(2));
    BOOST_REQUIRE(holds<GateRefuse>(repeat));
    BOOST_TEST(std::get<GateRefuse>(repeat).isKeySpent);
}

BOOST_AUTO_TEST_CASE(a_key_does_not_run_in_another_incarnation_of_its_home)
{
    CallGate next(sIncarnation + 1);
    next.setCapacity(2);
    next.setUpstreamAlive(true);
    next.setVersions({"v1"});
    const GateDecision decision = next.admit(call(1, "k"), sWall, at(1));
    BOOST_REQUIRE(holds<GateUnknown>(decision));
    BOOST_TEST((std::get<GateUnknown>(decision).reason == UnknownReason::HomeGone));
}

BOOST_AUTO_TEST_CASE(a_key_is_retained_longer_than_its_lifetime)
{
    CallGate gate = readyGate();
    gate.admit(call(1, "k"), sWall, at(1));
    gate.complete(call(1, "k"), Answered{200}, "", at(2));
    // The clocks of two boxes differ by up to sMaxClockSkew in either direction.
    const Milliseconds last = sKeyLifetime + sMaxClockSkew;
    BOOST_TEST(holds<GateReplay>(gate.admit(call(2, "k"), sWall + last, at(1) + last)));
    BOOST_TEST(holds<GateUnknown>(gate.admit(call(3, "fresh"), sWall + last, at(1) + last)));
}

BOOST_AUTO_TEST_CASE(a_key_that_expires_after_its_retention_is_refused)
{
    CallGate gate = readyGate();
    GateCall odd = call(1, "k");
    odd.keyExpires = sWall + 10 * sKeyLifetime;
    BOOST_TEST(holds<GateUnknown>(gate.admit(odd, sWall, at(1))));
}
