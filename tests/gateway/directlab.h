/*
 * directlab.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "addressfront.h"
#include "calls.h"
#include "clock.h"
#include "directconfig.h"
#include "feedservice.h"
#include "gatewayfront.h"
#include "memberservice.h"
#include "metrics.h"
#include "peerhub.h"
#include "permitservice.h"
#include "quarantineservice.h"
#include "records.h"
#include "replicaservice.h"

#include <array>
#include <functional>
#include <memory>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace Loom {

/** A store in memory, which can be away or forget its history. */
class MemoryStore final : public StorePort
{
public:
    explicit MemoryStore(const asio::any_io_executor &executor)
        : mChanged(executor)
    {
    }

    bool isAway = false;
    bool hasForgotten = false; ///< the next read finds its records gone
    int reads = 0; ///< so far, of all feeds
    int fullReads = 0; ///< of those, of every key
    std::array<std::vector<Milliseconds>, sFeedCount> waits; ///< that reads so far asked for
    std::size_t mostAtOnce = 1'000'000; ///< records that one read gives
    Milliseconds onTheWay{0}; ///< every answer takes so long after the store looked
    std::array<int, sFeedCount> fullReadsOf{}; ///< the same by feed
    Milliseconds fullReadTime{0}; ///< that each of them takes

    void write(Feed feed, std::string key, std::optional<std::string> value)
    {
        auto &log = mLogs[static_cast<std::size_t>(feed)];
        log.push_back({std::move(key), std::move(value), log.size()});
        mChanged.notify();
    }

    awaitable<tl::expected<FeedBatch, StoreError>> read(Feed feed, std::uint64_t from,
                                                        Milliseconds wait) override
    {
        ++reads;
        waits[static_cast<std::size_t>(feed)].push_back(wait);
        const auto &log = mLogs[static_cast<std::size_t>(feed)];
        if (!isAway && log.size() <= from) {
            co_await mChanged.waitFor(wait);
        }
        if (isAway) {
            co_return tl::unexpected(StoreError::Unreachable);
        }
        if (std::exchange(hasForgotten, false)) {
            co_return tl::unexpected(StoreError::Forgotten);
        }
        FeedBatch batch;
        const std::uint64_t end = std::min<std::uint64_t>(log.size(), from + mostAtOnce);
        for (std::uint64_t offset = from; offset < end; ++offset) {
            batch.records.push_back(log[offset]);
            batch.bytes += bytesOf(log[offset]);
        }
        batch.next = std::max(from, end);
        batch.hasMore = batch.next < log.size();
        co_await sleepFor(onTheWay);
        co_return batch;
    }

    awaitable<tl::expected<FeedBatch, StoreError>> newest(Feed feed) override
    {
        if (isAway) {
            co_return tl::unexpected(StoreError::Refused);
        }
        ++fullReads;
        ++fullReadsOf[static_cast<std::size_t>(feed)];
        if (fullReadTime.count() > 0) {
            co_await sleepFor(fullReadTime);
        }
        const auto &log = mLogs[static_cast<std::size_t>(feed)];
        FeedTable book;
        for (const FeedRecord &record : log) {
            book.apply(record);
        }
        FeedBatch batch;
        for (const auto &[key, record] : book.all()) {
            if (record.value) {
                batch.records.push_back(record);
                batch.bytes += bytesOf(record);
            }
        }
        batch.next = log.size();
        co_await sleepFor(onTheWay);
        co_return batch;
    }

    awaitable<tl::expected<void, StoreError>> put(std::string key,
                                                  std::optional<std::string> value) override
    {
        if (isAway) {
            co_return tl::unexpected(StoreError::Unreachable);
        }
        write(Feed::Members, std::move(key), std::move(value));
        co_return tl::expected<void, StoreError>();
    }

private:
    static std::uint64_t bytesOf(const FeedRecord &record)
    {
        return record.key.size() + (record.value ? record.value->size() : 0);
    }

    std::array<std::vector<FeedRecord>, sFeedCount> mLogs;
    Signal mChanged;
};

/** The id of the request with this head. */
inline std::string requestIdOf(const std::string &head)
{
    constexpr std::string_view name = "Loomjunction-Request-Id: ";
    const std::size_t begin = head.find(name) + name.size();
    return head.substr(begin, head.find('\r', begin) - begin);
}

/** A replica that answers every request by a script, which gets the request's head. */
class ScriptedReplica
{
public:
    struct Answer
    {
        std::string bytes;
        bool closes = false;
        std::function<bool()> holds; ///< the rest waits while it says so
        std::string rest;
    };
    using Script = std::function<Answer(const std::string &head)>;

    ScriptedReplica(asio::io_context &context, Script script)
        : mAcceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , mScript(std::move(script))
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    std::string address() const { return endpointText(mAcceptor.local_endpoint()); }
    /** Takes no further connection, as a process that has ended. */
    void end() { mAcceptor.close(); }
    int requests() const { return static_cast<int>(mHeads.size()); }
    const std::vector<std::string> &heads() const { return mHeads; }
    /** Connections that were made so far. */
    int connections() const { return mConnections; }
    /** Connections that the other side has closed. */
    int closed() const { return mClosed; }

private:
    awaitable<void> accept()
    {
        while (true) {
            auto [error, socket] = co_await mAcceptor.async_accept(sAsValue);
            if (error) {
                co_return;
            }
            ++mConnections;
            auto shared = std::make_shared<Tcp::socket>(std::move(socket));
            asio::co_spawn(mAcceptor.get_executor(), serve(shared), asio::detached);
        }
    }

    awaitable<void> serve(std::shared_ptr<Tcp::socket> socket)
    {
        std::string buffer;
        const std::string blank = "\r\n\r\n";
        while (true) {
            auto [error, size] = co_await asio::async_read_until(
                *socket, asio::dynamic_buffer(buffer), blank, sAsValue);
            if (error) {
                ++mClosed;
                co_return;
            }
            mHeads.push_back(buffer.substr(0, size));
            buffer.erase(0, size);
            const Answer answer = mScript(mHeads.back());
            co_await asio::async_write(*socket, asio::buffer(answer.bytes), sAsValue);
            while (answer.holds && answer.holds()) {
                co_await sleepFor(std::chrono::milliseconds(5));
            }
            co_await asio::async_write(*socket, asio::buffer(answer.rest), sAsValue);
            if (answer.closes) {
                socket->close();
                co_return;
            }
        }
    }

    Tcp::acceptor mAcceptor;
    Script mScript;
    std::vector<std::string> mHeads;
    int mConnections = 0;
    int mClosed = 0;
};

/** One gateway over a store in memory, with scripted replicas. */
class DirectLab
{
public:
    DirectLab();

    asio::io_context context{1};
    MemoryStore store{context.get_executor()};

    /** Adds a replica of @p service and its record, with @p weights loaded. */
    ScriptedReplica &addReplica(std::string id, std::string service, ScriptedReplica::Script script,
                                std::uint64_t weights = 1);
    void writeConfig(std::uint64_t version);

    /** Runs @p test on the loop until it returns, then ends the gateway. */
    void run(std::function<awaitable<void>()> test);
    /** The answer to one request of the account with @p key. */
    awaitable<tl::expected<HttpResponse, HttpError>> call(std::string method, std::string path,
                                                          std::string id, std::string key = "k",
                                                          std::string deadlineMs = "6000");
    /** Waits until @p condition holds; fails the test after a generous time. */
    awaitable<void> waitFor(std::function<bool()> condition);

    GatewayFront &front() { return mKernel.find<GatewayFront>(GatewayFront::sName); }
    AddressFront &addresses() { return mKernel.find<AddressFront>(AddressFront::sName); }
    DirectConfig &config() { return mKernel.find<DirectConfig>(DirectConfig::sName); }
    FeedService &feeds() { return mKernel.find<FeedService>(FeedService::sName); }
    MemberService &members() { return mKernel.find<MemberService>(MemberService::sName); }
    const Metrics &metrics() const { return mMetrics; }
    ReplicaService &replicas() { return mKernel.find<ReplicaService>(ReplicaService::sName); }

private:
    static DirectSettings settings();

    DirectSettings mSettings = settings();
    Platform::Records mRecords;
    Platform::Calls mCalls;
    Metrics mMetrics;
    Kernel mKernel{context.get_executor()};
    HttpClient mClient{context.get_executor()};
    std::vector<std::unique_ptr<ScriptedReplica>> mReplicas;
};

} // namespace Loom
