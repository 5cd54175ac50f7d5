/*
 * listservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "kernel.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

class PlatformService;

/** A box as the platform's list names it. */
struct ListedBox
{
    std::string box;
    std::string dataCentre;
    std::string region;
    std::string service; ///< of an agent; empty for an entry
    Tcp::endpoint peers;
    Tcp::endpoint callers; ///< of an entry
    bool isEntry = false;
    bool isLeaving = false;
};

/** Follows the platform's lagging list of live and leaving boxes. */
class ListService final : public Service
{
public:
    static constexpr std::string_view sName = "list";

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override { mStopped = true; }

    const std::vector<ListedBox> &boxes() const { return mBoxes; }
    const ListedBox *find(std::string_view box) const;
    /** The entries that are not leaving. */
    std::vector<ListedBox> entries() const;
    /** Calls @p listener after each change. */
    void addListener(std::function<void()> listener) { mListeners.push_back(std::move(listener)); }

private:
    awaitable<void> follow();

    PlatformService *mPlatform = nullptr;
    std::vector<ListedBox> mBoxes;
    std::vector<std::function<void()>> mListeners;
    std::uint64_t mVersion = 0;
    bool mStopped = false;
};

} // namespace Loom
