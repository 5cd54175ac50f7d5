/*
 * feedstate.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "feedstate.h"

#include "clock.h"
#include "jsonlog.h"
#include "loopstep.h"

#include <algorithm>

namespace Loom {

namespace {

constexpr std::string_view sStoreSource = "store"; // see RecordOrigin::from
// A removal read from the store is trusted only if no store read failed for this time.
constexpr Milliseconds sStoreFailureWindow{3'000};

} // namespace

std::optional<Microseconds> FeedChange::maxAge() const
{
    return acceptedAt.maxAge(now());
}

std::int64_t loggedAge(std::optional<Microseconds> age)
{
    return age ? std::chrono::duration_cast<Milliseconds>(*age).count() : -1;
}

std::optional<Microseconds> FeedState::age() const
{
    if (!mCompleteAt) {
        return std::nullopt;
    }
    return now() - *mCompleteAt;
}

FeedEvidence FeedState::evidence() const
{
    FeedEvidence evidence;
    if (const auto known = age()) {
        evidence.age = std::chrono::ceil<Milliseconds>(*known);
    }
    evidence.from = mCompleteFrom;
    evidence.next = mTable.next();
    return evidence;
}

// A table that has never been complete may lack records before its end.
LogPosition FeedState::knownBefore() const
{
    return mIsFirstSync ? LogPosition() : mTable.next();
}

RecordOrigin FeedState::originOf(const std::string &key) const
{
    const auto it = mOrigins.find(key);
    return it == mOrigins.end() ? RecordOrigin() : it->second;
}

EventTime FeedState::acceptedAt(const std::string &key) const
{
    const auto it = mAcceptedAt.find(key);
    return it == mAcceptedAt.end() ? EventTime() : it->second;
}

bool FeedState::isStoreDoubtful() const
{
    const bool isRestored = mRestoredAt && now() - *mRestoredAt <= sStoreFailureWindow;
    return hasStoreFailedWithin(sStoreFailureWindow) || isRestored || mIsRelayDoubtful;
}

bool FeedState::hasStoreFailedWithin(Milliseconds duration) const
{
    return mHasStoreFailed && now() - mStoreFailedAt <= duration;
}

// A table that has never been synced may lack old records, which are then no news.
std::optional<Instant> FeedState::completeUntil() const
{
    return mIsFirstSync ? std::nullopt : mCompleteAt;
}

// The store may have accepted a record that has just been read at any time since the feed was
// last complete.
EventTime FeedState::timeOfRead() const
{
    return {completeUntil(), now()};
}

// The response may have been in transit for long, and an empty one may have been given before the
// end of its wait. It shows the store as of the time of the request.
void FeedState::applyBatch(const FeedBatch &batch, Instant asked, Milliseconds wait)
{
    for (const FeedRecord &record : batch.records) {
        applyRead(record);
    }
    mTable.setNext({batch.era, batch.next});
    mHasReturnedEarly = !batch.records.empty() || now() < asked + wait;
    if (!batch.hasMore) {
        noteComplete(asked, sStoreSource);
    }
    mIsRelayDoubtful = false;
}

void FeedState::applyFullRead(const FeedBatch &batch, Instant asked)
{
    const LoopStep step("taking a full read");
    noteLogEnd(batch);
    const bool isRestored = !mIsFirstSync && batch.era > mTable.next().era;
    if (isRestored) {
        noteRestored();
    }
    const EventTime readTime = timeOfRead();
    const LogPosition end{batch.era, batch.next};
    std::set<std::string_view> present;
    for (const FeedRecord &record : batch.records) {
        present.insert(record.key);
        const bool isRevived = mTable.isRevival(record);
        const EventTime time = isWrittenAgain(record) ? acceptedAt(record.key) : readTime;
        if (applyToTable(record)) {
            mAcceptedAt[record.key] = time;
            mOrigins[record.key] = RecordOrigin();
            notifyListeners(record, isRevived);
        }
    }
    removeAbsent(present, end);
    mTable.setNext(end);
    mIsFirstSync = false;
    mIsSynced = true;
    mHasReturnedEarly = false;
    noteComplete(asked, sStoreSource);
    if (isRestored) {
        finishRestore();
    }
}

// A replica whose record the store has lost may write it again, so its removal counts from now.
void FeedState::removeAbsent(const std::set<std::string_view> &present, LogPosition end)
{
    for (const RemovedKey &removed : mTable.removeAbsent(present, end)) {
        mAcceptedAt[removed.key] = removed.isLost ? EventTime::at(now()) : timeOfRead();
        mOrigins[removed.key] = RecordOrigin();
        notifyListeners(mTable.all().find(removed.key)->second);
    }
    mRemovalsKnownFrom = std::max(mRemovalsKnownFrom, end);
}

// The store has returned from a copy: offsets were given out again, and records written after
// the copy are lost.
void FeedState::beginRestore(std::uint64_t storeEra)
{
    mIsSynced = false;
    noteRestored();
    logLine(LogLevel::Warning, "feed-outdated",
            {{"feed", feedName(mFeed)},
             {"era", mTable.next().era},
             {"offset", mTable.nextOffset()},
             {"storeEra", storeEra}});
}

void FeedState::noteRestored()
{
    mRestoredAt = now();
}

void FeedState::finishRestore()
{
    ++mChangeCount; // followers need the new positions, also if no value has changed
    logLine(LogLevel::Warning, "feed-restored",
            {{"feed", feedName(mFeed)},
             {"era", mTable.next().era},
             {"offset", mTable.nextOffset()},
             {"missing", mTable.missing().size()}});
    for (const RestoreListener &listener : mRestoreListeners) {
        listener(mTable.missing());
    }
}

void FeedState::noteComplete(Instant at, std::string_view from)
{
    if (!mCompleteAt || at > *mCompleteAt) {
        mCompleteAt = at;
        mCompleteFrom = from;
    }
}

void FeedState::noteRelayed(LogPosition next, bool isComplete)
{
    mTable.setNext(next);
    if (isComplete) {
        mIsSynced = true;
        mIsFirstSync = false;
    }
}

void FeedState::noteStoreCall(bool isReached, std::string_view reason)
{
    if (!isReached) {
        mHasStoreFailed = true;
        mStoreFailedAt = now();
    }
    if (mIsStoreReached == isReached) {
        return;
    }
    mIsStoreReached = isReached;
    logLine(isReached ? LogLevel::Info : LogLevel::Warning,
            isReached ? "store-regained" : "store-lost",
            {{"feed", feedName(mFeed)}, {"why", reason}, {"offset", mTable.nextOffset()}});
}

void FeedState::noteLogEnd(const FeedBatch &batch)
{
    const LogPosition expected = mTable.next();
    const bool isShortened = batch.era == expected.era && batch.next < expected.offset;
    if (isShortened && !mIsLogShortened) {
        logLine(LogLevel::Warning, "store-log-shortened",
                {{"feed", feedName(mFeed)}, {"end", batch.next}, {"expected", expected.offset}});
    }
    mIsLogShortened = isShortened;
}

// Replicas write a heartbeat about every second. With hundreds of replicas, relaying these
// records to every process would load a box more than everything else it does.
bool FeedState::isUnchanged(const FeedRecord &record) const
{
    if (!mIsEquivalent || !record.value) {
        return false;
    }
    const auto known = mTable.all().find(record.key);
    const bool hasValue = known != mTable.all().end() && known->second.value;
    return hasValue && known->second.era == record.era && known->second.offset < record.offset
        && mIsEquivalent(known->second, record);
}

// What a record says counts from when it was first written with the same value.
bool FeedState::isWrittenAgain(const FeedRecord &record) const
{
    const auto known = mTable.all().find(record.key);
    return known != mTable.all().end() && known->second.value
        && known->second.value == record.value;
}

// Returns whether the record is new. A record that was written again after the store had lost it is
// not, but followers consider it missing until they learn of its new position.
bool FeedState::applyToTable(const FeedRecord &record)
{
    const bool wasMissing = mTable.missing().contains(record.key);
    const bool isNew = mTable.apply(record);
    const bool isWrittenAgain = wasMissing && !mTable.missing().contains(record.key);
    mChangeCount += isWrittenAgain && !isNew ? 1 : 0;
    return isNew;
}

// Applies a record from the store's log. A log grows at its end, so a record of an earlier
// offset than the known one shows that the store returned from a copy without a new era.
void FeedState::applyRead(const FeedRecord &record)
{
    const auto known = mTable.all().find(record.key);
    const bool isComparable = known != mTable.all().end() && known->second.era == record.era;
    // A relay may have been faster than the read; then the record is the known one.
    const bool isPassedOver = isComparable && known->second.offset > record.offset
        && record.offset >= mTable.nextOffset();
    if (isPassedOver) {
        logLine(LogLevel::Warning, "record-passed-over",
                {{"feed", feedName(mFeed)},
                 {"key", record.key},
                 {"offset", record.offset},
                 {"known", known->second.offset}});
    }
    apply(record, timeOfRead());
}

void FeedState::apply(const FeedRecord &record, const EventTime &time, RecordOrigin origin,
                      bool isRevived)
{
    const EventTime firstWritten = isWrittenAgain(record) ? acceptedAt(record.key) : time;
    if (isUnchanged(record) || !applyToTable(record)) {
        return;
    }
    mAcceptedAt[record.key] = firstWritten;
    mOrigins[record.key] = std::move(origin);
    notifyListeners(record, isRevived);
}

// Changes of a record in quick succession are relayed as the last one only. A record that is
// equivalent to the known one may thus have replaced a different value: its offset must be
// stored, or a process that knows the other value would never learn that it is outdated.
void FeedState::applyRelayed(const FeedRecord &record, const EventTime &time, RecordOrigin origin,
                             bool isCopy)
{
    const bool isRevived = isCopy && mTable.isRevival(record);
    if (isUnchanged(record)) {
        // Followers of this process may know the intermediate value.
        mChangeCount += mTable.apply(record) ? 1 : 0;
        return;
    }
    EventTime narrowed = time;
    narrowed.notBefore(completeUntil());
    apply(record, narrowed, std::move(origin), isRevived);
}

bool FeedState::move(std::string_view key, LogPosition position)
{
    if (!mTable.move(key, position)) {
        return false;
    }
    ++mChangeCount; // followers need the new position
    return true;
}

void FeedState::notifyListeners(const FeedRecord &record, bool isRevived)
{
    ++mChangeCount;
    const FeedChange change{record,
                            mAcceptedAt[record.key],
                            completeUntil(),
                            !isStoreDoubtful(),
                            mOrigins[record.key],
                            isRevived};
    for (const Listener &listener : mListeners) {
        listener(change);
    }
}

} // namespace Loom
