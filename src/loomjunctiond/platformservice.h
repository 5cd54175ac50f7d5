/*
 * platformservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "daemonsettings.h"
#include "http.h"
#include "kernel.h"
#include "logclient.h"
#include "metrics.h"

#include <cstdint>
#include <random>
#include <string>

namespace Loom {

/** What every service needs: who this process is, its clients, metrics and random numbers. */
class PlatformService final : public Service
{
public:
    static constexpr std::string_view sName = "platform";

    PlatformService(const asio::any_io_executor &executor, DaemonSettings settings);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &) override { return {}; }

    const DaemonSettings &settings() const { return mSettings; }
    const std::string &box() const { return mSettings.box; }
    /** Tells this life of the process from earlier ones; never zero. */
    std::uint64_t incarnation() const { return mIncarnation; }
    HttpClient &http() { return mHttp; }
    LogClient &log() { return mLog; }
    Metrics &metrics() { return mMetrics; }
    /** All metrics of this process, as collectors read them. */
    HttpResponse metricsResponse();
    std::uint64_t random() { return mRandom(); }

private:
    DaemonSettings mSettings;
    std::mt19937_64 mRandom;
    std::uint64_t mIncarnation;
    HttpClient mHttp;
    LogClient mLog;
    Metrics mMetrics;
};

} // namespace Loom
