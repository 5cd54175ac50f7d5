/*
 * operatorconfigservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "kernel.h"
#include "membersettings.h"
#include "ports.h"
#include "routetable.h"
#include "weightversiontracker.h"

#include <functional>
#include <vector>

namespace Loom {

class FeedService;
struct FeedChange;
class Metrics;

/** The operators' configuration and named weights, as this process believes them. */
class OperatorConfigService final : public Service
{
public:
    static constexpr std::string_view sName = "direct-config";
    using Listener = std::function<void()>;

    OperatorConfigService(RecordPort &records, const MemberBounds &bounds);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;

    /** Observes each configuration's age when it is installed as `config_age_ms`. */
    void countInto(Metrics &metrics) { mMetrics = &metrics; }

    /** The configuration in force; null before the first is known. */
    const RouteTablePtr &table() const { return mTable; }
    const WeightVersionTracker &weights() const { return mWeights; }
    /** A route or key that is not in the table may be in a newer one. */
    bool mayBeStale() const;

    /** Calls @p listener after each change of either. */
    void addListener(Listener listener) { mListeners.push_back(std::move(listener)); }
    void setBounds(const MemberBounds &bounds);

private:
    void applyRecord(const FeedChange &change);
    void install(RouteConfig config, const FeedChange &change);
    void observeAge(const FeedChange &change);
    void applyNamedWeights(const NamedWeights &named, const FeedChange &change);

    RecordPort &mRecords;
    MemberBounds mBounds;
    FeedService *mFeeds = nullptr;
    Metrics *mMetrics = nullptr; ///< null: nothing is observed
    RouteTablePtr mTable;
    WeightVersionTracker mWeights;
    std::vector<Listener> mListeners;
};

} // namespace Loom
