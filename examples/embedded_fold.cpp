/*
 * embedded_fold.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (examples).
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Uses the coordination parts without the daemon: a configuration that follows
// any log, an order lease, and the choice of who fetches what. Nothing here
// opens a socket, reads a clock or starts a thread; the embedder brings those.

#include "chunkplan.h"
#include "configreplica.h"
#include "orderlease.h"

#include <iostream>

using namespace Loom;

namespace {

/** A record as the embedder's own log would hand it over. */
wire::StoredRecord recordAt(std::uint64_t offset, const wire::ConfigChange &change)
{
    wire::ConfigRecord record;
    *record.mutable_change() = change;
    wire::StoredRecord stored;
    stored.set_offset(offset);
    stored.set_data(record.SerializeAsString());
    return stored;
}

wire::ConfigChange deadlineChange(const std::string &id, const std::string &value)
{
    wire::ConfigChange change;
    change.set_change_id(id);
    change.set_base(ConfigState::sNoOffset); // its author has seen nothing yet
    wire::SetValue &set = *change.add_operations()->mutable_set_value();
    set.set_scope("/");
    set.set_key("calls.deadlineMs");
    set.set_value(value);
    return change;
}

} // namespace

int main()
{
    const Instant now(Milliseconds(1));

    ConfigReplica replica;
    const std::vector records{recordAt(0, deadlineChange("first", "1500")),
                              recordAt(1, deadlineChange("rival", "9000"))};
    replica.applyLog(records, 0, now);
    std::cout << "deadline: " << replica.state().integer("", "calls.deadlineMs")
              << " ms; rival: " << replica.state().fate("rival")->reason << "\n";

    OrderLease lease("box-1", 1, {});
    const auto claim = lease.claimIfDue(now);
    wire::StoredRecord stored;
    stored.set_offset(41);
    stored.set_data(claim->SerializeAsString());
    lease.feed({&stored, 1}, now);
    std::cout << "fencing number: " << *lease.fencingNumber(now) << "\n";

    const std::vector<SwarmMember> members{{"box-1", "dc-a"}, {"box-2", "dc-a"}};
    ChunkPlan plan("manifest", 8, members[0], {}, now);
    plan.setMembers(members);
    std::cout << "chunks to pull first: " << plan.next(now).size() << " of " << plan.chunkCount()
              << "\n";
    return 0;
}
