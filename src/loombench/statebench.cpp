/*
 * statebench.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loombench).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "statebench.h"

#include "callgate.h"
#include "claimtable.h"
#include "clock.h"
#include "configreplica.h"
#include "idempotencykey.h"

#include <algorithm>
#include <array>
#include <string>

#include <malloc.h>

namespace Loom {

namespace {

constexpr std::uint32_t sValuesPerService = 10;
constexpr std::size_t sAnswerBytes = 200;
constexpr std::uint64_t sLife = 1;

/** Bytes handed out by the allocator; the resident set would hide what is reused. */
std::uint64_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

std::int64_t growth(std::uint64_t before)
{
    return static_cast<std::int64_t>(allocatedBytes()) - static_cast<std::int64_t>(before);
}

wire::StoredRecord recordOf(const wire::ConfigChange &change, std::uint64_t offset)
{
    wire::ConfigRecord record;
    *record.mutable_change() = change;
    wire::StoredRecord stored;
    stored.set_offset(offset);
    stored.set_data(record.SerializeAsString());
    return stored;
}

wire::ConfigChange serviceChange(std::uint32_t number)
{
    const std::string name = "service-" + std::to_string(number);
    wire::ConfigChange change;
    change.set_change_id(makeUuid7(wallNow(), number, number));
    change.set_base(ConfigState::sNoOffset);
    change.add_operations()->mutable_create_service()->set_name(name);
    constexpr std::array sKeys{"admission.maxInFlight",   "admission.weight",
                               "addresses.lifetimeMs",    "calls.deadlineMs",
                               "retry.budgetPercent",     "rollout.maxLoadingPercent",
                               "rollout.minReadyPercent", "rollout.originCopies",
                               "slo.firstByteMs",         "slo.targetPerMille"};
    static_assert(sKeys.size() == sValuesPerService);
    for (const char *key : sKeys) {
        wire::SetValue &set = *change.add_operations()->mutable_set_value();
        set.set_scope("/service/" + name);
        set.set_key(key);
        set.set_value("16");
    }
    // Values out of a key's range would refuse the whole change.
    change.mutable_operations(3)->mutable_set_value()->set_value("5000");
    return change;
}

void measureConfiguration(std::uint32_t services, boost::json::object &out)
{
    const std::uint64_t before = allocatedBytes();
    ConfigReplica replica;
    const Instant begun = now();
    for (std::uint32_t number = 0; number < services; ++number) {
        const wire::StoredRecord record = recordOf(serviceChange(number), number);
        replica.applyLog({&record, 1}, 0, now());
    }
    const std::chrono::duration<double, std::micro> took = now() - begun;
    out["services"] = replica.state().services().size();
    out["valuesPerService"] = sValuesPerService;
    out["stateBytesPerService"] = growth(before) / std::max<std::int64_t>(services, 1);
    out["foldMicrosecondsPerChange"] = took.count() / services;
    out["snapshotBytes"] = replica.state().snapshot().SerializeAsString().size();
}

void measureKeys(std::uint32_t keys, boost::json::object &out)
{
    const std::uint64_t before = allocatedBytes();
    CallGate gate(sLife);
    gate.setCapacity(keys);
    gate.setUpstreamAlive(true);
    const std::string answer(sAnswerBytes, 'a');
    const WallMilliseconds wall = wallNow();
    const Instant begun = now();
    for (std::uint32_t number = 0; number < keys; ++number) {
        GateCall call;
        call.attempt = {"entry-1#1", number + 1};
        call.idempotencyKey
            = IssuedKey{makeUuid7(wall, number, number), "box-1", sLife, wall}.text();
        call.homeIncarnation = sLife;
        call.keyExpires = wall + sKeyLifetime;
        call.timeLeft = Milliseconds(1'000);
        gate.admit(call, wall, now());
        gate.complete(call, Answered{200}, answer, now());
    }
    const std::chrono::duration<double, std::micro> took = now() - begun;
    out["keys"] = keys;
    out["bytesPerKey"] = growth(before) / std::max<std::int64_t>(keys, 1);
    out["microsecondsPerKey"] = took.count() / keys;
}

void measureClaims(std::uint32_t keys, boost::json::object &out)
{
    const std::uint64_t before = allocatedBytes();
    ClaimTable table;
    const WallMilliseconds wall = wallNow();
    for (std::uint32_t number = 0; number < keys; ++number) {
        wire::ClaimBatch batch;
        wire::KeyClaim &claim = *batch.add_claims();
        claim.set_key(makeUuid7(wall, number, number));
        claim.set_service("exam-app");
        claim.set_home_box("exam-1");
        wire::StoredRecord record;
        record.set_offset(number);
        record.set_data(batch.SerializeAsString());
        table.feed({&record, 1}, 0, wall, now());
    }
    out["bytesPerClaim"] = growth(before) / std::max<std::int64_t>(keys, 1);
}

} // namespace

boost::json::object measureState(std::uint32_t services, std::uint32_t keys)
{
    boost::json::object out;
    out["bench"] = "state";
    measureConfiguration(services, out);
    measureKeys(keys, out);
    measureClaims(keys, out);
    return out;
}

} // namespace Loom
