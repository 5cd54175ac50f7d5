/*
 * quarantine.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "quarantine.h"

#include <algorithm>

namespace Loom {

namespace {

// Maximum number of crashed replicas in an entry; more of them add no information.
constexpr std::size_t sMaxIncarnations = 16;

} // namespace

Quarantine::TrackedRequest &Quarantine::findOrCreate(const RequestDigest &digest,
                                                     const std::string &account)
{
    const auto found = mEntries.find(digest);
    if (found != mEntries.end()) {
        return found->second;
    }
    if (mEntries.size() >= mLimits.maxEntries) {
        evictOne(account);
    }
    TrackedRequest &held = mEntries[digest];
    held.entry.digest = digest;
    held.entry.account = account;
    return held;
}

// Evicts the entry with the fewest crashes of the account that has the most entries, so that
// an account that floods the table evicts its own entries.
void Quarantine::evictOne(const std::string &account)
{
    std::map<std::string, std::size_t> counts{{account, 1}};
    for (const auto &[digest, held] : mEntries) {
        ++counts[held.entry.account];
    }
    const auto largest
        = std::ranges::max_element(counts, {}, [](const auto &item) { return item.second; });
    const TrackedRequest *evicted = nullptr;
    const auto isLessRelevant = [](const QuarantineEntry &one, const QuarantineEntry &other) {
        return one.lives.size() != other.lives.size() ? one.lives.size() < other.lives.size()
                                                      : one.lastEventAt < other.lastEventAt;
    };
    for (const auto &[digest, held] : mEntries) {
        const bool isOfLargest = held.entry.account == largest->first;
        if (isOfLargest && (evicted == nullptr || isLessRelevant(held.entry, evicted->entry))) {
            evicted = &held;
        }
    }
    if (evicted != nullptr) {
        erase(RequestDigest(evicted->entry.digest));
    }
}

void Quarantine::erase(const RequestDigest &digest)
{
    const auto found = mEntries.find(digest);
    if (found == mEntries.end()) {
        return;
    }
    mByRevision.erase(found->second.revision);
    mEntries.erase(found);
}

void Quarantine::noteChange(TrackedRequest &held)
{
    mByRevision.erase(held.revision);
    held.revision = ++mRevision;
    mByRevision[held.revision] = held.entry.digest;
}

// The duration grows with each crash after the refusal. A request that crashes replicas in
// its trials is tried ever more rarely, while a wrongly refused one is soon tried first.
Milliseconds Quarantine::refusalPeriod(const QuarantineEntry &entry) const
{
    const std::size_t extraCrashes
        = entry.lives.size() - std::min(entry.lives.size(), mLimits.crashes);
    return mLimits.refusalPeriods[std::min(extraCrashes, mLimits.refusalPeriods.size() - 1)];
}

bool Quarantine::isRefused(const QuarantineEntry &entry, Instant now) const
{
    return entry.lives.size() >= mLimits.crashes && now < entry.lastEventAt + refusalPeriod(entry);
}

bool Quarantine::isExpired(const QuarantineEntry &entry, Instant now) const
{
    const bool wasRefused = entry.lives.size() >= mLimits.crashes;
    const Milliseconds retention = wasRefused ? 2 * refusalPeriod(entry) : mLimits.crashMemory;
    return now >= entry.lastEventAt + std::max(retention, mLimits.crashMemory);
}

QuarantineNews Quarantine::changeAfterCrash(TrackedRequest &held, bool wasRefused, Instant now)
{
    noteChange(held);
    return !wasRefused && isRefused(held.entry, now) ? QuarantineNews::Refused
                                                     : QuarantineNews::Known;
}

QuarantineNews Quarantine::noteCrash(const RequestDigest &digest, const std::string &account,
                                     const std::string &incarnation, Instant now)
{
    TrackedRequest &held = findOrCreate(digest, account);
    QuarantineEntry &entry = held.entry;
    const bool wasRefused = isRefused(entry, now);
    if (entry.lives.contains(incarnation) || entry.lives.size() >= sMaxIncarnations) {
        return QuarantineNews::Nothing;
    }
    entry.lives.insert(incarnation);
    entry.lastEventAt = now;
    return changeAfterCrash(held, wasRefused, now);
}

// A request that crashes replicas crashes every replica that runs it. A successful run thus
// shows that another request caused the crashes, and starts an epoch in which reports of
// earlier crashes are ignored.
bool Quarantine::noteSuccess(const RequestDigest &digest, Instant now)
{
    const auto found = mEntries.find(digest);
    if (found == mEntries.end() || found->second.entry.lives.empty()) {
        return false;
    }
    QuarantineEntry &entry = found->second.entry;
    ++entry.epoch;
    entry.lives.clear();
    entry.lastEventAt = now;
    noteChange(found->second);
    return true;
}

QuarantineNews Quarantine::merge(const QuarantineEntry &reported, Instant now)
{
    const auto found = mEntries.find(reported.digest);
    const std::uint32_t epoch = found == mEntries.end() ? 0 : found->second.entry.epoch;
    const bool isNewEpoch = reported.epoch > epoch;
    if (reported.epoch < epoch || (reported.lives.empty() && !isNewEpoch)
        || isExpired(reported, now)) {
        return QuarantineNews::Nothing;
    }
    TrackedRequest &held = findOrCreate(reported.digest, reported.account);
    QuarantineEntry &entry = held.entry;
    const bool wasRefused = isRefused(entry, now);
    const std::size_t countBefore = entry.lives.size();
    if (isNewEpoch) {
        entry.epoch = reported.epoch;
        entry.lives.clear();
    }
    for (const std::string &incarnation : reported.lives) {
        if (entry.lives.size() < sMaxIncarnations) {
            entry.lives.insert(incarnation);
        }
    }
    if (!isNewEpoch && entry.lives.size() == countBefore) {
        return QuarantineNews::Nothing;
    }
    entry.lastEventAt
        = isNewEpoch ? reported.lastEventAt : std::max(entry.lastEventAt, reported.lastEventAt);
    return changeAfterCrash(held, wasRefused, now);
}

// Only one gateway gives trials, one at a time. If every gateway gave its own, a request that
// crashes replicas would crash as many of them as there are gateways.
std::optional<Milliseconds> Quarantine::refusedFor(const RequestDigest &digest, bool isHome,
                                                   Instant now) const
{
    const auto found = mEntries.find(digest);
    if (found == mEntries.end() || found->second.entry.lives.size() < mLimits.crashes) {
        return std::nullopt;
    }
    const QuarantineEntry &entry = found->second.entry;
    if (isRefused(entry, now)) {
        return std::chrono::ceil<Milliseconds>(entry.lastEventAt + refusalPeriod(entry) - now);
    }
    const std::optional<Instant> &trialStart = found->second.trialStartedAt;
    const bool isTrialRunning = trialStart && now < *trialStart + mLimits.trialTimeout;
    if (isHome && !isTrialRunning) {
        return std::nullopt;
    }
    return mLimits.retryElsewhere;
}

void Quarantine::noteSent(const RequestDigest &digest, Instant now)
{
    const auto found = mEntries.find(digest);
    if (found != mEntries.end() && found->second.entry.lives.size() >= mLimits.crashes) {
        found->second.trialStartedAt = now;
    }
}

bool Quarantine::isRetryForbidden(const RequestDigest &digest) const
{
    const QuarantineEntry *entry = find(digest);
    return entry != nullptr && entry->lives.size() >= mLimits.noRepeatAfter;
}

const QuarantineEntry *Quarantine::find(const RequestDigest &digest) const
{
    const auto found = mEntries.find(digest);
    return found == mEntries.end() ? nullptr : &found->second.entry;
}

std::vector<QuarantineEntry> Quarantine::changedSince(std::uint64_t &revision,
                                                      std::size_t maxEntries) const
{
    std::vector<QuarantineEntry> changed;
    auto next = mByRevision.upper_bound(revision);
    while (next != mByRevision.end() && changed.size() < maxEntries) {
        changed.push_back(mEntries.at(next->second).entry);
        revision = next->first;
        ++next;
    }
    if (next == mByRevision.end()) {
        revision = mRevision; // entries of later changes were removed and are not sent
    }
    return changed;
}

std::vector<RequestDigest> Quarantine::sweep(Instant now)
{
    std::vector<RequestDigest> expired;
    for (const auto &[digest, held] : mEntries) {
        if (isExpired(held.entry, now)) {
            expired.push_back(digest);
        }
    }
    for (const RequestDigest &digest : expired) {
        erase(digest);
    }
    return expired;
}

} // namespace Loom
