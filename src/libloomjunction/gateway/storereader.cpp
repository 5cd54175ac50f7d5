/*
 * storereader.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "storereader.h"

#include "clock.h"
#include "metrics.h"
#include "retrydelay.h"

#include <utility>

namespace Loom {

StoreReader::StoreReader(StorePort &store, FeedState &state, std::function<void()> onChange)
    : mStore(store)
    , mState(state)
    , mOnChange(std::move(onChange))
{
}

awaitable<bool> StoreReader::read(Milliseconds wait)
{
    if (!mState.isSynced()) {
        co_return co_await readAll();
    }
    co_return co_await readOnward(wait);
}

bool StoreReader::isOutdated() const
{
    return !mState.isFirstSync() && mState.table().next().era < mStore.era();
}

void StoreReader::cancelIfOutdated()
{
    if (mIsPolling && isOutdated()) {
        mStore.cancelRead(mState.feed());
    }
}

awaitable<bool> StoreReader::readAll()
{
    const Instant asked = now();
    const auto batch = co_await mStore.newest(mState.feed());
    if (!batch && batch.error() == StoreError::Restored) {
        co_return false;
    }
    mState.noteStoreCall(batch.has_value(), batch ? "full read" : storeErrorName(batch.error()));
    if (batch) {
        countBytes("full", batch->bytes);
        mState.applyFullRead(*batch, asked);
    }
    mOnChange();
    co_return batch.has_value();
}

// Records of a later era than the table's are not applied, since the table may lack others before
// them.
awaitable<bool> StoreReader::readOnward(Milliseconds wait)
{
    const LogPosition from = mState.table().next();
    const Instant asked = now();
    mIsPolling = true;
    const auto batch = co_await mStore.read(mState.feed(), from.offset, wait);
    mIsPolling = false;
    if (!batch && isOutdated()) {
        co_return true; // cancelled, or refused for an offset that is lost
    }
    if (!batch) {
        const bool isRefused = batch.error() == StoreError::Forgotten;
        mState.noteStoreCall(isRefused, storeErrorName(batch.error()));
        mOnChange();
        if (isRefused) {
            co_await handleRefusedRead();
        }
        co_return isRefused;
    }
    mState.noteStoreCall(true, "read");
    mIsRefused = false;
    countBytes("onward", batch->bytes);
    if (batch->era < from.era) {
        co_await sleepFor(sMinRetryDelay); // the answer was on its way when the store returned
    }
    if (batch->era == from.era) {
        mState.applyBatch(*batch, asked, wait);
        mOnChange();
    }
    co_return true;
}

// Missed records are read from the end of the table. A full read after each failure would
// transfer everything again, for every gateway at once, just when the connection to the store
// is at its worst. It follows only if the store doesn't hold the end of the table.
awaitable<void> StoreReader::handleRefusedRead()
{
    if (mMetrics != nullptr) {
        mMetrics->count("store_reads_refused", std::string(feedName(mState.feed())));
    }
    mState.noteRefused();
    if (std::exchange(mIsRefused, true)) {
        co_await sleepFor(retryDelay());
    }
}

void StoreReader::countBytes(std::string_view kind, std::uint64_t bytes)
{
    if (mMetrics != nullptr) {
        mMetrics->count("store_bytes",
                        std::string(feedName(mState.feed())) + ", " + std::string(kind), bytes);
    }
}

} // namespace Loom
