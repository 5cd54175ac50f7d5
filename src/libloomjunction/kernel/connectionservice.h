/*
 * connectionservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "connectionbudget.h"
#include "kernel.h"

namespace Loom {

/** Holds the budget that all listeners of a process share. */
class ConnectionService final : public Service
{
public:
    static constexpr std::string_view sName = "connections";

    explicit ConnectionService(ConnectionBounds bounds = {})
        : mBudget(std::make_shared<ConnectionBudget>(bounds))
    {
    }

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &) override { return {}; }

    /** Outlives the connections of servers that stop after the kernel. */
    const std::shared_ptr<ConnectionBudget> &budget() const { return mBudget; }

    /** The budget of the process that @p kernel belongs to. */
    static const std::shared_ptr<ConnectionBudget> &budgetOf(const Kernel &kernel)
    {
        return kernel.find<ConnectionService>(sName).budget();
    }

private:
    std::shared_ptr<ConnectionBudget> mBudget;
};

} // namespace Loom
