/*
 * matrix.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "matrix.h"

#include <cstdio>

namespace Loom {

namespace {

std::string nameOf(const PlannedFault &fault, const std::vector<std::string> &steps)
{
    return std::string(sFaultNames[static_cast<std::size_t>(fault.fault)]) + " at "
        + steps[fault.step];
}

std::string padded(std::string_view text, std::size_t width)
{
    std::string out(text.substr(0, width));
    out.resize(width, ' ');
    return out;
}

} // namespace

MatrixResult runMatrix(std::string_view protocol, const std::vector<std::string> &steps,
                       const FaultRun &run)
{
    constexpr std::size_t sFirstColumn = 16;
    constexpr std::size_t sColumn = 12;
    MatrixResult result;
    std::vector<PlannedFault> applying;
    result.text = padded(protocol, sFirstColumn);
    for (const std::string &step : steps) {
        result.text += padded(step, sColumn);
    }
    result.text += "\n";
    for (std::size_t fault = 0; fault < sFaultNames.size(); ++fault) {
        result.text += padded(sFaultNames[fault], sFirstColumn);
        for (std::size_t step = 0; step < steps.size(); ++step) {
            const PlannedFault planned{static_cast<Fault>(fault), step};
            const bool isNone = planned.fault == Fault::None;
            FaultPlan plan(isNone ? std::vector<PlannedFault>() : std::vector{planned});
            const auto broken = run(plan);
            const bool applies = plan.allStruck();
            if (broken) {
                result.broken.push_back(nameOf(planned, steps) + ": " + *broken);
            }
            result.single += applies ? 1 : 0;
            if (applies && !isNone) {
                applying.push_back(planned);
            }
            result.text += padded(broken ? "BROKEN" : (applies ? "held" : "-"), sColumn);
        }
        result.text += "\n";
    }
    for (const PlannedFault &first : applying) {
        for (const PlannedFault &second : applying) {
            FaultPlan plan({first, second});
            const auto broken = run(plan);
            result.pairs += plan.allStruck() ? 1 : 0;
            if (broken) {
                result.broken.push_back(nameOf(first, steps) + " with " + nameOf(second, steps)
                                        + ": " + *broken);
            }
        }
    }
    result.text += std::to_string(result.single) + " single cells, " + std::to_string(result.pairs)
        + " pairs, " + std::to_string(result.broken.size()) + " broken\n";
    return result;
}

} // namespace Loom
