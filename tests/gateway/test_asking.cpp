/*
 * test_asking.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "loadreporter.h"
#include "scriptedagent.h"

using namespace Loom;

namespace {

/** A stream of one event. */
ScriptedReplica::Answer streams(const std::string &head)
{
    return {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "Loomjunction-Response-Signature: s\r\nLoomjunction-Request-Id: "
                + requestIdOf(head)
                + "\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: e\n\n\r\n0\r\n\r\n",
            false};
}

/** A gateway with two replicas of an engine and the agents beside them. */
class AskingLab
{
public:
    AskingLab() { lab.writeConfig(1); }

    awaitable<void> untilAsked()
    {
        co_await lab.waitFor([this] {
            return lab.front().isReady() && lab.replicas().replicas().all().size() == 2
                && firstAgent.questions > 0 && secondAgent.questions > 0;
        });
    }

    awaitable<void> callOften(int times)
    {
        for (int call = 0; call < times; ++call) {
            const std::string id = "id" + std::to_string(mCalls++);
            const auto response = co_await lab.call("POST", "/model/a", id);
            BOOST_TEST(response->status == 200);
        }
    }

    DirectLab lab;
    ScriptedReplica &first = lab.addReplica("i-1", "engine", streams);
    ScriptedReplica &second = lab.addReplica("i-2", "engine", streams);
    ScriptedAgent firstAgent{lab, first};
    ScriptedAgent secondAgent{lab, second};

private:
    int mCalls = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_request_goes_to_the_replica_whose_agent_says_it_is_free)
{
    AskingLab test;
    test.firstAgent.load.set_running(4);
    test.firstAgent.load.set_waiting(8);
    test.lab.run([&]() -> awaitable<void> {
        co_await test.untilAsked();
        co_await test.callOften(5);
        BOOST_TEST(test.second.requests() == 5);
        // What was true of the last choice counts for nothing in the next one.
        std::swap(test.firstAgent.load, test.secondAgent.load);
        co_await test.callOften(5);
        BOOST_TEST(test.first.requests() == 5);
    });
}

BOOST_AUTO_TEST_CASE(a_replica_with_a_silent_agent_gets_nothing_while_another_answers)
{
    AskingLab test;
    test.lab.run([&]() -> awaitable<void> {
        co_await test.untilAsked();
        test.firstAgent.isSilent = true;
        co_await test.callOften(10);
        BOOST_TEST(test.first.requests() == 0);
        BOOST_TEST(test.second.requests() == 10);
        // It answers again, and takes part again.
        test.firstAgent.isSilent = false;
        test.secondAgent.load.set_running(4);
        test.secondAgent.load.set_waiting(8);
        co_await test.lab.waitFor([&] { return test.firstAgent.streams > 1; });
        co_await test.callOften(5);
        BOOST_TEST(test.first.requests() == 5);
    });
}

BOOST_AUTO_TEST_CASE(without_any_agent_requests_are_sent_all_the_same)
{
    AskingLab test;
    test.lab.run([&]() -> awaitable<void> {
        co_await test.untilAsked();
        test.firstAgent.isSilent = true;
        test.secondAgent.isSilent = true;
        co_await test.callOften(3);
        BOOST_TEST(test.first.requests() + test.second.requests() == 3);
    });
}

BOOST_AUTO_TEST_CASE(an_agents_answer_is_kept_with_the_time_it_took)
{
    AskingLab test;
    test.firstAgent.delay = std::chrono::milliseconds(30);
    const auto roundTrip = [&](std::string_view id) {
        const Replica *replica = test.lab.replicas().replicas().find(id);
        const bool isKnown = replica != nullptr && replica->load;
        return isKnown ? replica->load->roundTrip : Microseconds(0);
    };
    test.lab.run([&]() -> awaitable<void> {
        co_await test.untilAsked();
        co_await test.lab.waitFor([&] { return roundTrip("i-1") > Microseconds(0); });
        BOOST_TEST((roundTrip("i-1") >= test.firstAgent.delay));
        co_await test.lab.waitFor([&] { return roundTrip("i-2") > Microseconds(0); });
    });
}

BOOST_AUTO_TEST_CASE(no_question_is_asked_for_services_without_agents)
{
    AskingLab test;
    test.lab.addReplica("i-3", "plain", [](const std::string &head) -> ScriptedReplica::Answer {
        return {"HTTP/1.1 200 OK\r\nLoomjunction-Response-Signature: s\r\nLoomjunction-Request-Id: "
                    + requestIdOf(head) + "\r\nContent-Length: 2\r\n\r\nok",
                false};
    });
    test.lab.run([&]() -> awaitable<void> {
        co_await test.lab.waitFor([&] { return test.lab.replicas().replicas().all().size() == 3; });
        const int before = test.firstAgent.questions;
        for (int call = 0; call < 5; ++call) {
            const auto response
                = co_await test.lab.call("POST", "/once/a", "plain" + std::to_string(call));
            BOOST_TEST(response->status == 200);
        }
        // Links to agents are kept warm meanwhile, once or twice a second.
        BOOST_TEST(test.firstAgent.questions - before <= 3);
    });
}

BOOST_AUTO_TEST_CASE(an_agent_looks_at_its_engine_when_asked_and_once_for_questions_together)
{
    DirectLab lab; // its gateway's hub serves the reporter's path in this test
    asio::io_context &context = lab.context;
    Kernel kernel(context.get_executor());
    const Tcp::endpoint anyPort(asio::ip::address_v4::loopback(), 0);
    Tcp::acceptor reserved(context, anyPort);
    const Tcp::endpoint address = reserved.local_endpoint();
    reserved.close();
    DirectSettings settings;
    settings.box = "box";
    settings.peers = address;
    settings.role = StagerSettings{"engine", anyPort, 0};
    kernel.add(std::make_unique<PeerHub>(address));
    kernel.add(std::make_unique<FeedService>(lab.store, "box", FeedPreference::Peers));
    kernel.add(std::make_unique<MemberService>(lab.store, settings, 1));
    kernel.add(std::make_unique<LoadReporter>("10.0.0.1:1"));
    auto &reporter = kernel.find<LoadReporter>(LoadReporter::sName);
    int looks = 0;
    reporter.setLook([&]() -> awaitable<void> {
        ++looks;
        co_await sleepFor(std::chrono::milliseconds(2));
        ReplicaLoad load;
        load.running = static_cast<std::uint32_t>(looks);
        reporter.set(load);
    });
    lab.run([&]() -> awaitable<void> {
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
        BOOST_TEST(looks <= 2);
        co_await sleepFor(std::chrono::milliseconds(20));
        gateways.front()->send(wire::LoadQuery());
        const auto later
            = co_await gateways.front()->receiveMessage<wire::ReplicaLoadReport>(deadline);
        BOOST_TEST((*later)->running() == static_cast<std::uint32_t>(looks));
        BOOST_TEST(looks >= 2);
        kernel.stop();
    });
}
