/*
 * quarantine.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "quarantine.h"

#include <algorithm>
#include <iterator>

namespace Loom {

namespace {

// A subject with fewer crashes explains none that others are suspected of.
constexpr std::size_t sMinSuspectCrashes = 2;

} // namespace

Quarantine::TrackedSubject &Quarantine::findOrCreate(const QuarantineSubject &subject,
                                                     const std::string &account)
{
    const auto found = mEntries.find(subject);
    if (found != mEntries.end()) {
        return found->second;
    }
    if (mEntries.size() >= mLimits.maxEntries) {
        evictOne(account);
    }
    TrackedSubject &held = mEntries[subject];
    held.entry.subject = subject;
    held.entry.account = account;
    held.entry.epoch = isProvenPart(subject) ? 1 : 0;
    return held;
}

// Evicts the entry with the fewest crashes of the account that has the most entries, so that
// an account that floods the table evicts its own entries.
void Quarantine::evictOne(const std::string &account)
{
    std::map<std::string, std::size_t> counts{{account, 1}};
    for (const auto &[subject, held] : mEntries) {
        ++counts[held.entry.account];
    }
    const auto largest
        = std::ranges::max_element(counts, {}, [](const auto &item) { return item.second; });
    const TrackedSubject *evicted = nullptr;
    const auto isLessRelevant = [](const QuarantineEntry &one, const QuarantineEntry &other) {
        return one.lives.size() != other.lives.size() ? one.lives.size() < other.lives.size()
                                                      : one.lastEventAt < other.lastEventAt;
    };
    for (const auto &[subject, held] : mEntries) {
        const bool isOfLargest = held.entry.account == largest->first;
        if (isOfLargest && (evicted == nullptr || isLessRelevant(held.entry, evicted->entry))) {
            evicted = &held;
        }
    }
    if (evicted != nullptr) {
        erase(QuarantineSubject(evicted->entry.subject));
    }
}

void Quarantine::erase(const QuarantineSubject &subject)
{
    const auto found = mEntries.find(subject);
    if (found == mEntries.end()) {
        return;
    }
    mByRevision.erase(found->second.revision);
    mEntries.erase(found);
    mCulprits.erase(subject);
}

void Quarantine::noteChange(TrackedSubject &held)
{
    mByRevision.erase(held.revision);
    held.revision = ++mRevision;
    mByRevision[held.revision] = held.entry.subject;
}

bool Quarantine::isProvenPart(const QuarantineSubject &subject) const
{
    const auto *part = std::get_if<PromptPart>(&subject);
    return part != nullptr && mProvenParts.contains(*part);
}

// The duration grows with each trial that fails. A request that crashes replicas in its trials is
// tried ever more rarely, while a wrongly refused one is soon tried first.
Milliseconds Quarantine::refusalPeriod(const QuarantineEntry &entry) const
{
    return mLimits.refusalPeriods[std::min<std::size_t>(entry.failedTrials,
                                                        mLimits.refusalPeriods.size() - 1)];
}

bool Quarantine::isExpired(const QuarantineEntry &entry, Instant now) const
{
    const bool wasRefused = entry.lives.size() >= minCrashes(entry.subject, mLimits.crashes);
    const Milliseconds retention = wasRefused ? 2 * refusalPeriod(entry) : mLimits.crashMemory;
    return now >= entry.lastEventAt + std::max(retention, mLimits.crashMemory);
}

void Quarantine::noteLife(const std::string &incarnation, Instant at)
{
    mRecentCrashes.try_emplace(incarnation, at);
}

void Quarantine::beginEpoch(QuarantineEntry &entry, std::uint32_t epoch)
{
    entry.epoch = epoch;
    entry.failedTrials = 0;
    entry.lives.clear();
}

// Finds the culprits anew. Crashes that one subject explains no longer count against the others.
void Quarantine::attribute(Instant now)
{
    std::erase_if(mRecentCrashes,
                  [&](const auto &item) { return now >= item.second + mLimits.recentCrashes; });
    RecentCrashes recent{mRecentCrashes.size(), {}};
    mNextSettlingAt.reset();
    for (const auto &[incarnation, at] : mRecentCrashes) {
        const Instant settlesAt = at + mLimits.reportTime;
        if (now < settlesAt) {
            recent.unsettled.insert(incarnation);
            mNextSettlingAt = std::min(mNextSettlingAt.value_or(settlesAt), settlesAt);
        }
    }
    std::vector<CrashSuspect> suspects;
    for (const auto &[subject, held] : mEntries) {
        if (held.entry.lives.size() >= sMinSuspectCrashes) {
            suspects.push_back(
                {subject, &held.entry.lives, held.entry.epoch > 0, held.attributedWith});
        }
    }
    for (const QuarantineSubject &subject : mCulprits) {
        mEntries.at(subject).attributedWith = 0;
    }
    mCulprits.clear();
    for (CrashCulprit &culprit : attributeCrashes(std::move(suspects), recent, mLimits.crashes)) {
        TrackedSubject &held = mEntries.at(culprit.subject);
        held.attributedWith = held.entry.lives.size();
        held.companions = std::move(culprit.companions);
        mCulprits.insert(culprit.subject);
    }
}

QuarantineNews Quarantine::newsAfterCrash(const QuarantineSubject &subject, bool wasCulprit,
                                          Instant now)
{
    attribute(now);
    return !wasCulprit && mCulprits.contains(subject) ? QuarantineNews::Refused
                                                      : QuarantineNews::Known;
}

QuarantineNews Quarantine::noteCrash(const QuarantineSubject &subject, const std::string &account,
                                     const std::string &incarnation, Instant now)
{
    TrackedSubject &held = findOrCreate(subject, account);
    QuarantineEntry &entry = held.entry;
    noteLife(incarnation, now);
    if (entry.lives.contains(incarnation) || entry.lives.size() >= QuarantineEntry::sMaxLives) {
        return QuarantineNews::Nothing;
    }
    // Replicas that crash in quick succession were sent their requests before the refusal.
    const bool wasCulprit = mCulprits.contains(subject);
    const bool wasTrial = wasCulprit && now >= entry.lastEventAt + refusalPeriod(entry);
    entry.failedTrials += wasTrial ? 1 : 0;
    entry.lives.insert(incarnation);
    entry.lastEventAt = now;
    noteChange(held);
    return newsAfterCrash(subject, wasCulprit && !wasTrial, now);
}

// A request that crashes replicas crashes every replica that runs it, and so do all requests with
// a prompt part that does. A successful run thus shows that something else caused the crashes, and
// starts an epoch in which reports of earlier crashes are ignored.
bool Quarantine::noteSuccess(const QuarantineSubject &subject, Instant now)
{
    if (const auto *part = std::get_if<PromptPart>(&subject)) {
        mProvenParts.note(*part, now);
    }
    const auto found = mEntries.find(subject);
    if (found == mEntries.end() || found->second.entry.lives.empty()) {
        return false;
    }
    QuarantineEntry &entry = found->second.entry;
    beginEpoch(entry, entry.epoch + 1);
    entry.lastEventAt = now;
    noteChange(found->second);
    attribute(now);
    return true;
}

QuarantineNews Quarantine::merge(const QuarantineEntry &reported, Instant now)
{
    const auto found = mEntries.find(reported.subject);
    const std::uint32_t epoch = found == mEntries.end() ? 0 : found->second.entry.epoch;
    const bool isNewEpoch = reported.epoch > epoch;
    if (reported.epoch < epoch || (reported.lives.empty() && !isNewEpoch)
        || isExpired(reported, now)) {
        return QuarantineNews::Nothing;
    }
    TrackedSubject &held = findOrCreate(reported.subject, reported.account);
    QuarantineEntry &entry = held.entry;
    const bool wasCulprit = mCulprits.contains(reported.subject);
    const std::size_t countBefore = entry.lives.size();
    if (isNewEpoch) {
        beginEpoch(entry, reported.epoch);
    }
    if (reported.epoch < entry.epoch) {
        // A request with the part has succeeded here before the reported crashes.
        entry.lastEventAt = now;
        noteChange(held);
        return QuarantineNews::Known;
    }
    const std::uint32_t failedTrialsBefore = entry.failedTrials;
    entry.failedTrials = std::max(entry.failedTrials, reported.failedTrials);
    for (const std::string &incarnation : reported.lives) {
        noteLife(incarnation, reported.lastEventAt);
        if (entry.lives.size() < QuarantineEntry::sMaxLives) {
            entry.lives.insert(incarnation);
        }
    }
    const bool hasNewTrial = entry.failedTrials != failedTrialsBefore;
    if (!isNewEpoch && !hasNewTrial && entry.lives.size() == countBefore) {
        return QuarantineNews::Nothing;
    }
    entry.lastEventAt
        = isNewEpoch ? reported.lastEventAt : std::max(entry.lastEventAt, reported.lastEventAt);
    noteChange(held);
    return newsAfterCrash(reported.subject, wasCulprit && !hasNewTrial, now);
}

std::vector<QuarantineSubject>
Quarantine::culprits(std::span<const QuarantineSubject> subjects) const
{
    const auto isPresent = [&](const QuarantineSubject &subject) {
        return std::ranges::find(subjects, subject) != subjects.end();
    };
    std::vector<QuarantineSubject> present;
    for (const QuarantineSubject &subject : subjects) {
        if (mCulprits.contains(subject)
            && std::ranges::all_of(mEntries.at(subject).companions, isPresent)) {
            present.push_back(subject);
        }
    }
    return present;
}

std::vector<QuarantineSubject> Quarantine::companions(const QuarantineSubject &subject) const
{
    return mCulprits.contains(subject) ? mEntries.at(subject).companions
                                       : std::vector<QuarantineSubject>();
}

// Only one gateway gives trials, one at a time. If every gateway gave its own, a request that
// crashes replicas would crash as many of them as there are gateways.
std::optional<Milliseconds> Quarantine::refusedFor(const QuarantineSubject &subject, bool isHome,
                                                   Instant now) const
{
    if (!mCulprits.contains(subject)) {
        return std::nullopt;
    }
    const TrackedSubject &held = mEntries.at(subject);
    const Instant refusedUntil = held.entry.lastEventAt + refusalPeriod(held.entry);
    if (now < refusedUntil) {
        return std::chrono::ceil<Milliseconds>(refusedUntil - now);
    }
    const std::optional<Instant> &trialStart = held.trialStartedAt;
    const bool isTrialRunning = trialStart && now < *trialStart + mLimits.trialTimeout;
    if (isHome && !isTrialRunning) {
        return std::nullopt;
    }
    return mLimits.retryElsewhere;
}

void Quarantine::noteSent(const QuarantineSubject &subject, Instant now)
{
    if (mCulprits.contains(subject)) {
        mEntries.at(subject).trialStartedAt = now;
    }
}

bool Quarantine::isRetryForbidden(const QuarantineSubject &subject) const
{
    const QuarantineEntry *entry = find(subject);
    if (entry == nullptr) {
        return false;
    }
    if (std::holds_alternative<RequestDigest>(subject)) {
        return entry->lives.size() >= mLimits.noRepeatAfter;
    }
    return entry->epoch == 0 && entry->lives.size() >= mLimits.noPartRepeatAfter;
}

void Quarantine::settle(Instant now)
{
    if (mNextSettlingAt && now >= *mNextSettlingAt) {
        attribute(now);
    }
}

QuarantineChanges Quarantine::takeChanges()
{
    QuarantineChanges changes;
    std::ranges::set_difference(mCulprits, mReportedCulprits, std::back_inserter(changes.refused));
    std::ranges::set_difference(mReportedCulprits, mCulprits, std::back_inserter(changes.released));
    mReportedCulprits = mCulprits;
    return changes;
}

const QuarantineEntry *Quarantine::find(const QuarantineSubject &subject) const
{
    const auto found = mEntries.find(subject);
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

std::vector<QuarantineSubject> Quarantine::sweep(Instant now)
{
    std::vector<QuarantineSubject> expired;
    for (const auto &[subject, held] : mEntries) {
        if (isExpired(held.entry, now)) {
            expired.push_back(subject);
        }
    }
    for (const QuarantineSubject &subject : expired) {
        erase(subject);
    }
    mProvenParts.forgetBefore(now - mLimits.crashMemory);
    attribute(now);
    return expired;
}

} // namespace Loom
