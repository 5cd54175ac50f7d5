/*
 * orderservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "kernel.h"
#include "orderlease.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Loom {

class PlatformService;

/** The only giver of orders to this box's engine, under an order lease from the log. */
class OrderService final : public Service
{
public:
    static constexpr std::string_view sName = "orders";

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;

    /** Loads @p version; true when the engine accepted the order. */
    awaitable<bool> load(std::string version, std::string manifestDigest);
    awaitable<bool> unload(std::string version);

private:
    awaitable<bool> acquire();
    awaitable<bool> readLeases();
    awaitable<bool> give(std::string kind, std::string version, std::string manifestDigest);

    PlatformService *mPlatform = nullptr;
    std::unique_ptr<OrderLease> mLease;
};

} // namespace Loom
