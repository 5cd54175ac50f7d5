/*
 * matrix.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <array>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

/** What may happen at a step of a protocol. */
enum class Fault : unsigned char
{
    None,
    Kill,
    Cut,
    Freeze,
    Corrupt,
    Delay,
    LostAnswer,
    LogDown,
    VersionChange,
    OperatorRace,
};

inline constexpr std::array sFaultNames{"none",           "kill",         "cut",         "freeze",
                                        "corrupt",        "delay",        "lost answer", "log down",
                                        "version change", "operator race"};

/** A fault and the step at which it strikes. */
struct PlannedFault
{
    Fault fault = Fault::None;
    std::size_t step = 0;
};

/** The faults of one run; remembers which of them found something to strike. */
class FaultPlan
{
public:
    explicit FaultPlan(std::vector<PlannedFault> faults)
        : mFaults(std::move(faults))
        , mStruck(mFaults.size())
    {
    }

    /** Whether @p fault strikes at @p step; each planned fault strikes once. */
    bool strikes(Fault fault, std::size_t step)
    {
        for (std::size_t i = 0; i < mFaults.size(); ++i) {
            if (mFaults[i].fault == fault && mFaults[i].step == step && !mStruck[i]) {
                mStruck[i] = true;
                return true;
            }
        }
        return false;
    }

    bool allStruck() const
    {
        for (const bool struck : mStruck) {
            if (!struck) {
                return false;
            }
        }
        return true;
    }

private:
    std::vector<PlannedFault> mFaults;
    std::vector<bool> mStruck;
};

/** Runs one schedule; gives the broken promise, or nothing. */
using FaultRun = std::function<std::optional<std::string>(FaultPlan &plan)>;

/** Cells that were run, and those that no fault could strike. */
struct MatrixResult
{
    std::size_t single = 0;
    std::size_t pairs = 0;
    std::vector<std::string> broken;
    std::string text;
};

/** Every step x every fault, then every pair of cells that apply. */
MatrixResult runMatrix(std::string_view protocol, const std::vector<std::string> &steps,
                       const FaultRun &run);

} // namespace Loom
