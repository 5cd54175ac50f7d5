/*
 * feedstate.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "eventtime.h"
#include "feedtable.h"
#include "instant.h"
#include "ports.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Loom {

/** Source of a record and its distance from the store. */
struct RecordOrigin
{
    std::string from = "store"; ///< or the address of the process that relayed it
    std::uint32_t hops = 0; ///< number of times that the record was relayed
};

/** How recently a feed was known to be complete, and from where. */
struct FeedEvidence
{
    Milliseconds age{-1}; ///< negative: it was never known to be complete
    std::string from; ///< "store", or the address of the process that reported it last
    LogPosition next; ///< all records before it are known
};

/** A changed record, as passed to listeners. */
struct FeedChange
{
    const FeedRecord &record;
    EventTime acceptedAt; ///< by the store
    /** Everything that the store had accepted by then was known before the change; empty: never. */
    std::optional<Instant> completeUntil;
    bool isTrusted; ///< the store had no recent failure when the change was read
    const RecordOrigin &origin;
    /** The store's copy holds a record whose removal was known, and which may thus be outdated. */
    bool isRevived = false;

    /** Longest time since the store accepted it, transit included; nothing if it is unknown. */
    std::optional<Microseconds> maxAge() const;
};

/** Milliseconds of @p age for a log line; -1 if it is unknown. */
std::int64_t loggedAge(std::optional<Microseconds> age);

/**
 * The records of one feed, merged from the store and from other processes, and how recent they
 * are. An older record from one source never replaces a newer one from another, and the age is
 * that of the best source. Owned by the feed service; filled by StoreReader and FeedFollower.
 */
class FeedState
{
public:
    using Listener = std::function<void(const FeedChange &change)>;
    /** @p missing: keys that the store has lost, and that stay valid. */
    using RestoreListener = std::function<void(const FeedTable::Keys &missing)>;
    /** Whether a new value of a record means the same as the known one. */
    using EquivalencePredicate
        = std::function<bool(const FeedRecord &known, const FeedRecord &next)>;

    explicit FeedState(Feed feed)
        : mFeed(feed)
    {
    }

    Feed feed() const { return mFeed; }
    void listen(Listener listener) { mListeners.push_back(std::move(listener)); }
    void listenRestored(RestoreListener listener)
    {
        mRestoreListeners.push_back(std::move(listener));
    }
    void setEraRules(EraRules rules) { mTable.setEraRules(std::move(rules)); }
    void setEquivalence(EquivalencePredicate isEquivalent)
    {
        mIsEquivalent = std::move(isEquivalent);
    }

    const FeedTable &table() const { return mTable; }
    /** Time since the feed was last known to be complete; nothing if it never was. */
    std::optional<Microseconds> age() const;
    FeedEvidence evidence() const;
    /** The table holds all records before its next offset. */
    bool isSynced() const { return mIsSynced; }
    /** The table has not been complete since this process started. */
    bool isFirstSync() const { return mIsFirstSync; }
    /** Position before which everything is known; the first one if the table was never complete. */
    LogPosition knownBefore() const;
    /** Removals at or after this position are in the table. */
    LogPosition removalsKnownFrom() const { return mRemovalsKnownFrom; }
    /** Rises with each change that followers have to learn of. */
    std::uint64_t changeCount() const { return mChangeCount; }
    RecordOrigin originOf(const std::string &key) const;
    /** When the store accepted the newest record of @p key. */
    EventTime acceptedAt(const std::string &key) const;
    /** When the store's last return from a copy was noticed. */
    std::optional<Instant> restoredAt() const { return mRestoredAt; }
    /** Whether the store failed recently, here or at the followed process. */
    bool isStoreDoubtful() const;
    /** Whether the last read of the store failed. */
    bool hasStoreFailed() const { return mHasStoreFailed && !mIsStoreReached; }
    /** Whether a read of the store failed within @p duration. */
    bool hasStoreFailedWithin(Milliseconds duration) const;
    /** Whether the first data can still be expected: no call to the store has failed. */
    bool isAwaitingData() const { return !mIsSynced && !mHasStoreFailed; }
    /** Whether the last call to the store was answered. */
    bool isStoreReached() const { return mIsStoreReached; }

    /** Applies what a read asked at @p asked found behind the table. */
    void applyBatch(const FeedBatch &batch, Instant asked, Milliseconds wait);
    /** Applies a read of all keys that was asked at @p asked. */
    void applyFullRead(const FeedBatch &batch, Instant asked);
    /** Applies a record that another process sent; @p isCopy: of a store that has returned. */
    void applyRelayed(const FeedRecord &record, const EventTime &time, RecordOrigin origin,
                      bool isCopy);
    /** Notes that the value of @p key now stands at @p position; false: the key has no value. */
    bool move(std::string_view key, LogPosition position);
    /** Removes the keys that are not @p present in a list of all keys before @p end. */
    void removeAbsent(const std::set<std::string_view> &present, LogPosition end);
    void noteMissing(std::string_view key) { mTable.noteMissing(key); }
    /** Notes that the table is now as complete as that of another process. */
    void noteRelayed(LogPosition next, bool isComplete);
    /** Notes whether the store failed recently at the process whose update is applied next. */
    void noteRelayDoubt(bool isDoubtful) { mIsRelayDoubtful = isDoubtful; }
    /** Notes that the table holds all records that the store accepted before @p at. */
    void noteComplete(Instant at, std::string_view from);
    /** Notes the result of a call to the store. */
    void noteStoreCall(bool isReached, std::string_view reason);
    /** Lets the feed be read in full, since the store refuses to read on. */
    void noteRefused() { mIsSynced = false; }
    void beginRestore(std::uint64_t storeEra);
    void noteRestored();
    void finishRestore();
    /** Whether the last read of the store ended before its timeout. */
    bool hasReturnedEarly() const { return mHasReturnedEarly; }

private:
    bool isUnchanged(const FeedRecord &record) const;
    bool isWrittenAgain(const FeedRecord &record) const;
    bool applyToTable(const FeedRecord &record);
    void applyRead(const FeedRecord &record);
    void apply(const FeedRecord &record, const EventTime &time, RecordOrigin origin = {},
               bool isRevived = false);
    void notifyListeners(const FeedRecord &record, bool isRevived = false);
    std::optional<Instant> completeUntil() const;
    EventTime timeOfRead() const;
    void noteLogEnd(const FeedBatch &batch);

    Feed mFeed;
    FeedTable mTable;
    std::vector<Listener> mListeners;
    std::vector<RestoreListener> mRestoreListeners;
    EquivalencePredicate mIsEquivalent;
    std::map<std::string, EventTime> mAcceptedAt; ///< the newest record, by key
    std::map<std::string, RecordOrigin> mOrigins; ///< of the newest record, by key
    std::optional<Instant> mCompleteAt;
    std::string mCompleteFrom; ///< source of mCompleteAt
    Instant mStoreFailedAt;
    bool mHasStoreFailed = false;
    bool mIsStoreReached = false;
    bool mIsSynced = false;
    bool mIsFirstSync = true;
    bool mIsRelayDoubtful = false; ///< the followed process reports a recent store failure
    bool mIsLogShortened = false; ///< at the last full read, the log ended before the table
    bool mHasReturnedEarly = false;
    LogPosition mRemovalsKnownFrom;
    std::optional<Instant> mRestoredAt;
    std::uint64_t mChangeCount = 0;
};

} // namespace Loom
