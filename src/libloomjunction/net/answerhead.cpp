/*
 * answerhead.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "answerhead.h"

namespace Loom {

namespace {

constexpr int sMinStatus = 100;
constexpr int sMinFinalStatus = 200;
constexpr int sMaxStatus = 599;
constexpr int sSwitchingProtocols = 101;

} // namespace

std::string_view answerFaultName(AnswerFault fault)
{
    switch (fault) {
    case AnswerFault::Status:
        return "status";
    case AnswerFault::Upgrade:
        return "upgrade";
    }
    return "unknown";
}

bool isInterimStatus(int status)
{
    return status >= sMinStatus && status < sMinFinalStatus;
}

std::optional<AnswerFault> findAnswerFault(int status,
                                           [[maybe_unused]] std::span<const HttpHeader> headers)
{
    if (status < sMinStatus || status > sMaxStatus) {
        return AnswerFault::Status;
    }
    if (status == sSwitchingProtocols) {
        return AnswerFault::Upgrade;
    }
    return std::nullopt;
}

} // namespace Loom
