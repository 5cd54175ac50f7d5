/*
 * burnservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "burnreport.h"
#include "kernel.h"
#include "outcome.h"

#include <memory>
#include <string>
#include <string_view>

#include <boost/json.hpp>

namespace Loom {

class ConfigService;
class PlatformService;

/** Counts how requests end, against each service's objective. */
class BurnService final : public Service
{
public:
    static constexpr std::string_view sName = "burn";

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;

    void note(std::string_view service, std::string_view account, const Outcome &outcome,
              Microseconds firstByte);

    /** Counters of every series and window, for loomctl to merge. */
    boost::json::object report() const;

private:
    PlatformService *mPlatform = nullptr;
    ConfigService *mConfig = nullptr;
    std::unique_ptr<BurnCounters> mCounters;
};

} // namespace Loom
