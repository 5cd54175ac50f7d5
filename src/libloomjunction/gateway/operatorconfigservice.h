/*
 * operatorconfigservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "evacuationtable.h"
#include "kernel.h"
#include "membersettings.h"
#include "ports.h"
#include "routetable.h"
#include "weightversiontracker.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Loom {

class FeedService;
struct FeedChange;
struct FeedRecord;
class Metrics;

/** Holds the operators' configuration and selected weight versions known to this process. */
class OperatorConfigService final : public Service
{
public:
    static constexpr std::string_view sName = "direct-config";
    using Listener = std::function<void()>;
    using EvacuationListener = std::function<void(const EvacuationChange &change)>;

    OperatorConfigService(RecordPort &records, const MemberBounds &bounds);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override { mStopped = true; }

    /** Records the age of each configuration on installation in the metric `config_age_ms`. */
    void countInto(Metrics &metrics) { mMetrics = &metrics; }

    /** The active configuration; null until one has been received. */
    const RouteTablePtr &table() const { return mTable; }
    const WeightVersionTracker &weights() const { return mWeights; }
    /** Whether the table may be outdated, so that a newer one may hold a missing route or key. */
    bool mayBeStale() const;
    /** Notes that @p version is in force at another gateway. */
    void noteReportedVersion(std::uint64_t version);
    /** Applies what the process @p from knows of the time of a version. */
    void noteSuperseded(const SupersededVersion &superseded, std::string_view from);
    /** Logs how recent the configuration was when the request @p id was refused for good. */
    void logEvidence(std::string_view id, int status) const;

    /** Calls @p listener after each change of the configuration or the weight versions. */
    void addListener(Listener listener) { mListeners.push_back(std::move(listener)); }
    /** Calls @p listener when the evacuation of a data centre begins or ends. */
    void addEvacuationListener(EvacuationListener listener)
    {
        mEvacuationListeners.push_back(std::move(listener));
    }
    void setBounds(const MemberBounds &bounds);

private:
    bool isNewerVersion(const FeedRecord &earlier, const FeedRecord &later) const;
    std::optional<std::uint64_t> versionOf(const FeedRecord &record) const;
    void applyRecord(const FeedChange &change);
    void install(RouteConfig config, const FeedChange &change);
    void observeAge(const FeedChange &change);
    void applyNamedWeights(const NamedWeights &named, const FeedChange &change);
    void applyEvacuation(const Evacuation &evacuation, const FeedChange &change);
    void announce(const EvacuationChange &change) const;
    awaitable<void> runChecks();
    void updateLostEvacuations();
    void logStaleness();

    RecordPort &mRecords;
    MemberBounds mBounds;
    FeedService *mFeeds = nullptr;
    Metrics *mMetrics = nullptr; ///< null if ages are not recorded
    RouteTablePtr mTable;
    std::string mConfigKey; ///< of the record that holds the configuration
    std::uint64_t mReportedVersion = 0; ///< newest one in force at another gateway
    bool mHasUnreadableSuccessor = false; ///< of the table, which is thus not the newest
    WeightVersionTracker mWeights;
    EvacuationTable mEvacuations;
    std::vector<Listener> mListeners;
    std::vector<EvacuationListener> mEvacuationListeners;
    std::optional<Instant> mStaleSince; ///< nothing while the configuration is recent
    bool mStopped = false;
};

} // namespace Loom
