/*
 * upstreamservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "callgate.h"
#include "configservice.h"
#include "daemonsettings.h"
#include "http.h"
#include "kernel.h"
#include "versionswitch.h"

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace Loom {

class PlatformService;

/**
 * Watches the engine or plain service of this box: whether it answers, what
 * it has loaded, how loaded it is. Feeds the call gate and the version switch.
 */
class UpstreamService final : public Service
{
public:
    static constexpr std::string_view sName = "upstream";

    explicit UpstreamService(const asio::any_io_executor &executor, std::uint64_t incarnation);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override { mStopped = true; }

    const AgentSettings &settings() const { return *mSettings; }
    CallGate &gate() { return mGate; }
    VersionSwitch &versions() { return mVersions; }
    std::uint32_t engineLoad() const { return mEngineLoad; }

    /** Asks the engine now instead of at the next poll. */
    awaitable<void> refresh();
    /** Wakes when anything that entries should know has changed. */
    Signal &changed() { return mChanged; }
    void noteChange() { mChanged.notify(); }

private:
    awaitable<void> follow();
    awaitable<void> askEngine();
    awaitable<void> askPlain();
    void setAlive(bool alive);
    void takeReport(std::string_view body);

    PlatformService *mPlatform = nullptr;
    const AgentSettings *mSettings = nullptr;
    CallGate mGate;
    VersionSwitch mVersions;
    Signal mChanged;
    std::uint32_t mEngineLoad = 0;
    bool mStopped = false;
};

} // namespace Loom
