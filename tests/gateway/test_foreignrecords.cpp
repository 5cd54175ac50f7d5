/*
 * test_foreignrecords.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Records of another writer with the addresses of running replicas hid these for good: all
// requests were refused with "no replica can take it", although the replicas sent heartbeats.

#include <boost/test/unit_test.hpp>

#include "gatewayfixture.h"

using namespace Loom;

namespace {

constexpr std::string_view sTargetName = "Loomjunction-Target-Instance: ";
const std::string sPlainService = "plain";

/** Answers requests for the replica @p id, and those for other replicas with 421. */
ScriptedReplica::Script answersAs(const std::string &id)
{
    return [id](const std::string &head) -> ScriptedReplica::Answer {
        const std::size_t begin = head.find(sTargetName) + sTargetName.size();
        const bool isTarget = head.substr(begin, head.find('\r', begin) - begin) == id;
        const std::string requestId = "Loomjunction-Request-Id: " + requestIdOf(head) + "\r\n";
        if (!isTarget) {
            return {"HTTP/1.1 421 X\r\n" + requestId + "Loomjunction-Instance-Id: " + id
                        + "\r\nLoomjunction-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    false};
        }
        return {"HTTP/1.1 200 X\r\n" + requestId
                    + "Loomjunction-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok",
                false};
    };
}

struct ForeignRecord
{
    std::string name;
    std::string service;
    std::string state;
    std::string more; ///< further fields, each after a comma
};

std::string recordText(const ForeignRecord &record, const std::string &address, int slots)
{
    return R"({"service":")" + record.service + R"(","address":")" + address
        + R"(","zone":"z1","slots":)" + std::to_string(slots) + R"(,"state":")" + record.state
        + R"(","models":[])" + record.more + "}";
}

std::vector<ForeignRecord> foreignRecords()
{
    const std::string bornLate = R"(,"born":9000000000000)";
    return {
        {"another service", "batch", "ready", ""},
        {"another service, draining", "batch", "draining", ""},
        {"the same service", sPlainService, "ready", ""},
        {"the same service, started later", sPlainService, "ready", bornLate},
        {"the same service, draining", sPlainService, "draining", ""},
        {"the same service, draining, started later", sPlainService, "draining", bornLate},
    };
}

} // namespace

BOOST_AUTO_TEST_CASE(records_of_another_writer_do_not_hide_running_replicas)
{
    for (const ForeignRecord &foreign : foreignRecords()) {
        BOOST_TEST_CONTEXT(foreign.name)
        {
            GatewayFixture fixture;
            fixture.writeConfig(1);
            std::vector<std::string> addresses;
            for (const std::string id : {"i-1", "i-2"}) {
                addresses.push_back(fixture.addReplica(id, sPlainService, answersAs(id)).address());
            }
            fixture.run([&]() -> awaitable<void> {
                co_await fixture.waitFor([&] {
                    return fixture.front().isReady()
                        && fixture.replicas().replicas().all().size() == 2;
                });
                // The other writer changes its records, too.
                for (int round = 1; round <= 4; ++round) {
                    for (const std::string &address : addresses) {
                        fixture.store.write(Feed::Replicas, "x" + address,
                                            recordText(foreign, address, round));
                    }
                    co_await fixture.waitFor(
                        [&] { return fixture.replicas().replicas().all().size() == 4; });
                    co_await sleepFor(std::chrono::milliseconds(150));
                    int served = 0;
                    for (int number = 0; number < 5; ++number) {
                        const auto response = co_await fixture.call(
                            "GET", "/safe/a", std::to_string(round) + "-" + std::to_string(number));
                        served += response && response->status == 200 ? 1 : 0;
                    }
                    BOOST_TEST(served >= 4); // the foreign records may cost some attempts
                }
            });
        }
    }
}
