/*
 * directdaemon.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "kernel.h"
#include "membersettings.h"
#include "metrics.h"
#include "ports.h"

#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <tl/expected.hpp>

namespace Loom {

/** A gateway or stager process: its event loop, services, signals and planned stop. */
class DirectDaemon
{
public:
    DirectDaemon(std::string settingsPath, MemberSettings settings);
    ~DirectDaemon();

    /** Runs until a planned stop has ended; the error tells why it could not start. */
    tl::expected<void, std::string> run();

private:
    void addServices();
    void addGateway();
    void addStager();
    void waitForSignal();
    void beginStop();
    void reload(std::string_view cause);
    awaitable<void> watchSettings();
    awaitable<void> drainAndStop();

    std::string mSettingsPath;
    asio::io_context mContext{1};
    MemberSettings mSettings;
    std::uint64_t mIncarnation;
    Metrics mMetrics;
    PlatformPorts mPorts;
    Kernel mKernel;
    asio::signal_set mSignals;
    std::string mSettingsText; ///< of the file, as it was read last
    bool mStopping = false;
};

} // namespace Loom
