/*
 * test_loadprober.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "loadreporter.h"
#include "scriptedagent.h"
#include "streamtext.h"

using namespace Loom;

namespace {

/** Answers with a stream of one event. */
ScriptedReplica::Answer streamAnswer(const std::string &head)
{
    return {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "Loomjunction-Response-Signature: s\r\nLoomjunction-Request-Id: "
                + requestIdOf(head)
                + "\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: e\n\n\r\n0\r\n\r\n",
            false};
}

/** A gateway, two replicas of an engine service, and their agents. */
class ProbingFixture
{
public:
    ProbingFixture() { fixture.writeConfig(1); }

    awaitable<void> waitUntilProbed()
    {
        co_await fixture.waitFor([this] {
            return fixture.front().isReady() && fixture.replicas().replicas().all().size() == 2
                && firstAgent.queryCount > 0 && secondAgent.queryCount > 0;
        });
    }

    awaitable<void> sendRequests(int count)
    {
        for (int call = 0; call < count; ++call) {
            const std::string id = "id" + std::to_string(mRequestCount++);
            const auto response = co_await fixture.call("POST", "/model/a", id);
            BOOST_TEST(response->status == 200);
        }
    }

    GatewayFixture fixture;
    ScriptedReplica &first = fixture.addReplica("i-1", "engine", streamAnswer);
    ScriptedReplica &second = fixture.addReplica("i-2", "engine", streamAnswer);
    ScriptedAgent firstAgent{fixture, first};
    ScriptedAgent secondAgent{fixture, second};

private:
    int mRequestCount = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(request_goes_to_replica_with_lowest_reported_load)
{
    ProbingFixture test;
    test.firstAgent.load.set_running(4);
    test.firstAgent.load.set_waiting(8);
    test.fixture.run([&]() -> awaitable<void> {
        co_await test.waitUntilProbed();
        co_await test.sendRequests(5);
        BOOST_TEST(test.second.requests() == 5);
        // Loads reported for the last choice must not influence the next one.
        std::swap(test.firstAgent.load, test.secondAgent.load);
        co_await test.sendRequests(5);
        BOOST_TEST(test.first.requests() == 5);
    });
}

BOOST_AUTO_TEST_CASE(replica_with_silent_agent_gets_no_requests_while_another_answers)
{
    ProbingFixture test;
    test.fixture.run([&]() -> awaitable<void> {
        co_await test.waitUntilProbed();
        test.firstAgent.isSilent = true;
        co_await test.sendRequests(10);
        BOOST_TEST(test.first.requests() == 0);
        BOOST_TEST(test.second.requests() == 10);
        // Once its agent answers again, the replica gets requests again.
        test.firstAgent.isSilent = false;
        test.secondAgent.load.set_running(4);
        test.secondAgent.load.set_waiting(8);
        co_await test.fixture.waitFor([&] { return test.firstAgent.streamCount > 1; });
        co_await test.sendRequests(5);
        BOOST_TEST(test.first.requests() == 5);
    });
}

BOOST_AUTO_TEST_CASE(requests_are_sent_when_no_agent_answers)
{
    ProbingFixture test;
    test.fixture.run([&]() -> awaitable<void> {
        co_await test.waitUntilProbed();
        test.firstAgent.isSilent = true;
        test.secondAgent.isSilent = true;
        co_await test.sendRequests(3);
        BOOST_TEST(test.first.requests() + test.second.requests() == 3);
    });
}

BOOST_AUTO_TEST_CASE(load_report_includes_probe_round_trip)
{
    ProbingFixture test;
    test.firstAgent.delay = std::chrono::milliseconds(30);
    const auto roundTrip = [&](std::string_view id) {
        const Replica *replica = test.fixture.replicas().replicas().find(id);
        const bool isKnown = replica != nullptr && replica->load;
        return isKnown ? replica->load->roundTrip : Microseconds(0);
    };
    test.fixture.run([&]() -> awaitable<void> {
        co_await test.waitUntilProbed();
        co_await test.fixture.waitFor([&] { return roundTrip("i-1") > Microseconds(0); });
        BOOST_TEST((roundTrip("i-1") >= test.firstAgent.delay));
        co_await test.fixture.waitFor([&] { return roundTrip("i-2") > Microseconds(0); });
    });
}

BOOST_AUTO_TEST_CASE(services_without_engine_are_not_probed)
{
    ProbingFixture test;
    test.fixture.addReplica("i-3", "plain", [](const std::string &head) -> ScriptedReplica::Answer {
        return {"HTTP/1.1 200 OK\r\nLoomjunction-Response-Signature: s\r\nLoomjunction-Request-Id: "
                    + requestIdOf(head) + "\r\nContent-Length: 2\r\n\r\nok",
                false};
    });
    test.fixture.run([&]() -> awaitable<void> {
        co_await test.fixture.waitFor(
            [&] { return test.fixture.replicas().replicas().all().size() == 3; });
        const int queriesBefore = test.firstAgent.queryCount;
        for (int call = 0; call < 5; ++call) {
            const auto response
                = co_await test.fixture.call("POST", "/once/a", "plain" + std::to_string(call));
            BOOST_TEST(response->status == 200);
        }
        // Idle agents are still probed once or twice a second.
        BOOST_TEST(test.firstAgent.queryCount - queriesBefore <= 3);
    });
}

BOOST_AUTO_TEST_CASE(concurrent_queries_share_one_engine_poll)
{
    GatewayFixture fixture; // its gateway's hub serves the reporter's path in this test
    asio::io_context &context = fixture.context;
    Kernel kernel(context.get_executor());
    const Tcp::endpoint anyPort(asio::ip::address_v4::loopback(), 0);
    Tcp::acceptor reserved(context, anyPort);
    const Tcp::endpoint address = reserved.local_endpoint();
    reserved.close();
    MemberSettings settings;
    settings.box = "box";
    settings.peers = address;
    settings.role = StagerSettings{"engine", anyPort, 0};
    kernel.add(std::make_unique<PeerHub>(address));
    kernel.add(std::make_unique<FeedService>(fixture.store, "box", FeedPreference::Peers));
    kernel.add(std::make_unique<MemberService>(fixture.store, settings, 1));
    kernel.add(std::make_unique<LoadReporter>("10.0.0.1:1"));
    auto &reporter = kernel.find<LoadReporter>(LoadReporter::sName);
    int polls = 0;
    reporter.setEnginePoll([&]() -> awaitable<void> {
        ++polls;
        co_await sleepFor(std::chrono::milliseconds(2));
        ReplicaLoad load;
        load.running = static_cast<std::uint32_t>(polls);
        reporter.set(load);
    });
    fixture.run([&]() -> awaitable<void> {
        BOOST_REQUIRE(kernel.start().has_value());
        auto &hub = kernel.find<PeerHub>(PeerHub::sName);
        std::vector<PeerStreamPtr> gateways;
        gateways.reserve(4);
        for (int count = 0; count < 4; ++count) {
            gateways.push_back(co_await hub.open(address, "/replica-load"));
        }
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        for (const PeerStreamPtr &stream : gateways) {
            stream->send(wire::LoadQuery());
        }
        for (const PeerStreamPtr &stream : gateways) {
            const auto report = co_await stream->receiveMessage<wire::ReplicaLoadReport>(deadline);
            BOOST_REQUIRE((report && *report));
            BOOST_TEST((*report)->running() >= 1U);
        }
        BOOST_TEST(polls <= 2);
        co_await sleepFor(std::chrono::milliseconds(20));
        gateways.front()->send(wire::LoadQuery());
        const auto later
            = co_await gateways.front()->receiveMessage<wire::ReplicaLoadReport>(deadline);
        BOOST_TEST((*later)->running() == static_cast<std::uint32_t>(polls));
        BOOST_TEST(polls >= 2);
        kernel.stop();
    });
}

// Guards against gateways that announce a request without its prompt's tokens, or with a count
// that no prompt can have.
BOOST_AUTO_TEST_CASE(gateway_announces_the_tokens_of_a_prompt)
{
    ProbingFixture test;
    test.secondAgent.load.set_accepting(false);
    test.fixture.run([&]() -> awaitable<void> {
        co_await test.waitUntilProbed();
        for (const std::string tokens : {"1234,50", "", "4000000000,50"}) {
            const auto response = co_await test.fixture.call(
                "POST", "/model/a", "sized" + tokens.substr(0, 4), "k", "6000", tokens);
            BOOST_TEST(response->status == 200);
        }
        co_await test.fixture.waitFor([&] { return test.firstAgent.announcedTokens.size() == 3; });
        const std::vector<std::uint64_t> expected{1'234, 0, 0};
        BOOST_TEST(test.firstAgent.announcedTokens == expected, boost::test_tools::per_element());
    });
}

// Guards against reports without the announced tokens. The second announcement is that of a
// gateway of an earlier version, whose request counts with the mean.
BOOST_AUTO_TEST_CASE(agent_reports_the_tokens_of_waiting_prompts)
{
    GatewayFixture fixture; // its gateway's hub serves the reporter's path in this test
    asio::io_context &context = fixture.context;
    Kernel kernel(context.get_executor());
    const Tcp::endpoint anyPort(asio::ip::address_v4::loopback(), 0);
    Tcp::acceptor reserved(context, anyPort);
    const Tcp::endpoint address = reserved.local_endpoint();
    reserved.close();
    MemberSettings settings;
    settings.box = "box";
    settings.peers = address;
    settings.role = StagerSettings{"engine", anyPort, 0};
    kernel.add(std::make_unique<PeerHub>(address));
    kernel.add(std::make_unique<FeedService>(fixture.store, "box", FeedPreference::Peers));
    kernel.add(std::make_unique<MemberService>(fixture.store, settings, 1));
    kernel.add(std::make_unique<LoadReporter>("10.0.0.1:1"));
    auto &reporter = kernel.find<LoadReporter>(LoadReporter::sName);
    ReplicaLoad load;
    load.waiting = 3;
    reporter.setEnginePoll([&]() -> awaitable<void> {
        reporter.set(load);
        co_return;
    });
    fixture.run([&]() -> awaitable<void> {
        BOOST_REQUIRE(kernel.start().has_value());
        auto &hub = kernel.find<PeerHub>(PeerHub::sName);
        const PeerStreamPtr gateway = co_await hub.open(address, "/replica-load");
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        gateway->send(wire::LoadQuery());
        const auto before = co_await gateway->receiveMessage<wire::ReplicaLoadReport>(deadline);
        BOOST_TEST((*before)->waiting_tokens() == 0U);
        for (const std::uint64_t tokens : {700U, 0U, 900U}) {
            wire::LoadQuery announcement;
            announcement.set_claim(true);
            announcement.set_prompt_tokens(tokens);
            gateway->send(announcement);
        }
        gateway->send(wire::LoadQuery());
        const auto after = co_await gateway->receiveMessage<wire::ReplicaLoadReport>(deadline);
        BOOST_TEST((*after)->waiting() >= 3U);
        BOOST_TEST((*after)->waiting_tokens() == 800U * (*after)->waiting());
        kernel.stop();
    });
}

// Guards against a crash of the gateway (found by the sanitizers only): callers leave while the
// choice of a replica for a hedge waits for agents that answer late.
BOOST_AUTO_TEST_CASE(callers_may_leave_while_a_hedge_waits_for_agents)
{
    constexpr int sCallers = 6;
    GatewayFixture fixture;
    fixture.writeConfig(1);
    const auto fallsSilent = [](const std::string &head) -> ScriptedReplica::Answer {
        return {streamHead(requestIdOf(head)) + chunk(event(1)), false};
    };
    ScriptedReplica &first = fixture.addReplica("i-1", "engine", fallsSilent);
    ScriptedReplica &second = fixture.addReplica("i-2", "engine", fallsSilent);
    ScriptedAgent firstAgent(fixture, first);
    ScriptedAgent secondAgent(fixture, second);
    fixture.run([&]() -> awaitable<void> {
        co_await fixture.waitFor([&] {
            return fixture.front().isReady() && fixture.replicas().replicas().all().size() == 2
                && firstAgent.queryCount > 0 && secondAgent.queryCount > 0;
        });
        std::vector<Tcp::socket> callers;
        for (int index = 0; index < sCallers; ++index) {
            auto caller
                = co_await connectWithin(fixture.front().localEndpoint(), std::chrono::seconds(5));
            BOOST_REQUIRE(caller.has_value());
            const std::string request
                = "POST /model/a HTTP/1.1\r\nHost: h\r\nLoomjunction-Request-Id: id"
                + std::to_string(index) + "\r\nAuthorization: Token k\r\nContent-Length: 0\r\n\r\n";
            co_await asio::async_write(*caller, asio::buffer(request), sAsValue);
            callers.push_back(std::move(*caller));
        }
        co_await fixture.waitFor([&] { return first.requests() + second.requests() == sCallers; });
        // The choices for the hedges wait for the agents, which don't count as unresponsive yet.
        firstAgent.delay = std::chrono::milliseconds(40);
        secondAgent.delay = std::chrono::milliseconds(40);
        const auto asked = [&] { return fixture.metrics().counter("load_questions", "asked"); };
        const std::uint64_t askedBefore = asked();
        co_await fixture.waitFor([&] { return asked() > askedBefore; });
        callers.clear();
        co_await fixture.waitFor([&] { return fixture.front().inFlight() == 0; });
        BOOST_TEST(fixture.metrics().counter("standby_tries", "none found") > 0U);
    });
}
