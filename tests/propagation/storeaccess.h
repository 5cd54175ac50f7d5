/*
 * storeaccess.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "clock.h"
#include "gatewayfixture.h"

#include <algorithm>
#include <memory>

namespace Loom {

/** A link of limited rate that the processes of a region share. */
class SharedLink
{
public:
    explicit SharedLink(double bytesPerSecond)
        : mBytesPerSecond(bytesPerSecond)
    {
    }

    /** Adds a transfer and returns how long it takes, with those before it. */
    Microseconds transfer(std::uint64_t bytes)
    {
        constexpr double microsecondsPerSecond = 1e6;
        const auto duration = static_cast<std::int64_t>(static_cast<double>(bytes)
                                                        * microsecondsPerSecond / mBytesPerSecond);
        mFreeAt = std::max(mFreeAt, now()) + Microseconds(duration);
        mBytes += bytes;
        return mFreeAt - now();
    }
    std::uint64_t bytes() const { return mBytes; }

private:
    double mBytesPerSecond;
    Instant mFreeAt;
    std::uint64_t mBytes = 0;
};

/** The way of one process to a store that it shares with others. */
class StoreAccess final : public StorePort
{
public:
    enum class Mode : std::uint8_t
    {
        Open,
        Refusing, ///< every call fails at once
        Silent, ///< calls and their responses are lost
    };

    StoreAccess(MemoryStore &store, SharedLink &link, Milliseconds delay)
        : mStore(store)
        , mLink(link)
        , mDelay(delay)
    {
    }

    void setMode(Mode mode) { mMode = mode; }
    std::uint64_t callCount() const { return mCallCount; }

    awaitable<tl::expected<FeedBatch, StoreError>> read(Feed feed, std::uint64_t from,
                                                        Milliseconds wait) override
    {
        const Instant timeoutAt = now() + wait + sAnswerTimeout;
        ++mCallCount;
        if (mMode == Mode::Open) {
            co_await sleepFor(mDelay);
            auto batch = co_await mStore.read(feed, from, wait);
            if (mMode == Mode::Open && batch) {
                co_await sleepFor(mDelay + mLink.transfer(batch->bytes));
            }
            if (mMode == Mode::Open) {
                co_return batch;
            }
        }
        co_return tl::unexpected(co_await fail(timeoutAt));
    }

    awaitable<tl::expected<FeedBatch, StoreError>> newest(Feed feed) override
    {
        constexpr std::uint64_t base64Numerator = 4;
        constexpr std::uint64_t base64Denominator = 3;
        const Instant timeoutAt = now() + sAnswerTimeout;
        ++mCallCount;
        if (mMode == Mode::Open) {
            co_await sleepFor(mDelay);
            auto batch = co_await mStore.newest(feed);
            if (mMode == Mode::Open && batch) {
                const std::uint64_t bytes = batch->bytes * base64Numerator / base64Denominator;
                co_await sleepFor(mDelay + mLink.transfer(bytes));
            }
            if (mMode == Mode::Open) {
                co_return batch;
            }
        }
        co_return tl::unexpected(co_await fail(timeoutAt));
    }

    awaitable<tl::expected<void, StoreError>> put(std::string key,
                                                  std::optional<std::string> value) override
    {
        const Instant timeoutAt = now() + sAnswerTimeout;
        ++mCallCount;
        if (mMode != Mode::Open) {
            co_return tl::unexpected(co_await fail(timeoutAt));
        }
        co_await sleepFor(mDelay);
        co_return co_await mStore.put(std::move(key), std::move(value));
    }

    std::uint64_t era() const override { return mStore.era(); }
    void setEraListener(std::function<void()> listener) override
    {
        mStore.setEraListener(std::move(listener));
    }
    void cancelRead(Feed) override { }

private:
    /** Like the timeout of a call to the store, without its wait for a record. */
    static constexpr Milliseconds sAnswerTimeout{1'500};

    awaitable<StoreError> fail(Instant timeoutAt)
    {
        if (mMode == Mode::Refusing) {
            co_await sleepFor(mDelay * 2);
            co_return StoreError::Refused;
        }
        co_await sleepFor(std::max(Microseconds(0), timeoutAt - now()));
        co_return StoreError::Unreachable;
    }

    MemoryStore &mStore;
    SharedLink &mLink;
    Milliseconds mDelay;
    Mode mMode = Mode::Open;
    std::uint64_t mCallCount = 0;
};

} // namespace Loom
