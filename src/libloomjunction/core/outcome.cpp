/*
 * outcome.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "outcome.h"

#include "overload.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Loom {

namespace {

constexpr std::array sRefusalNames{
    std::pair{RefusalReason::BadRequest, std::string_view("bad-request")},
    std::pair{RefusalReason::UnknownService, std::string_view("unknown-service")},
    std::pair{RefusalReason::UnknownAccount, std::string_view("unknown-account")},
    std::pair{RefusalReason::AccountOverLimit, std::string_view("account-over-limit")},
    std::pair{RefusalReason::Overloaded, std::string_view("overloaded")},
    std::pair{RefusalReason::DeadlinePassed, std::string_view("deadline-passed")},
    std::pair{RefusalReason::NoUpstream, std::string_view("no-upstream")},
    std::pair{RefusalReason::UpstreamLeaving, std::string_view("upstream-leaving")},
    std::pair{RefusalReason::VersionNotLoaded, std::string_view("version-not-loaded")},
    std::pair{RefusalReason::UpstreamUnreachable, std::string_view("upstream-unreachable")},
    std::pair{RefusalReason::LogUnavailable, std::string_view("log-unavailable")},
    std::pair{RefusalReason::Revoked, std::string_view("revoked")},
    std::pair{RefusalReason::Draining, std::string_view("draining")},
    std::pair{RefusalReason::NotReady, std::string_view("not-ready")},
    std::pair{RefusalReason::TooLarge, std::string_view("too-large")},
    std::pair{RefusalReason::EndsUpstreams, std::string_view("ends-upstreams")},
};

constexpr std::array sUnknownNames{
    std::pair{UnknownReason::LinkCut, std::string_view("link-cut")},
    std::pair{UnknownReason::UpstreamCut, std::string_view("upstream-cut")},
    std::pair{UnknownReason::DeadlinePassed, std::string_view("deadline-passed")},
    std::pair{UnknownReason::HomeGone, std::string_view("home-gone")},
    std::pair{UnknownReason::KeyExpired, std::string_view("key-expired")},
    std::pair{UnknownReason::VersionMismatch, std::string_view("version-mismatch")},
    std::pair{UnknownReason::StillRunning, std::string_view("still-running")},
    std::pair{UnknownReason::NotSettled, std::string_view("not-settled")},
};

template <class Table, class Key> std::string_view findName(const Table &table, Key key)
{
    const auto it = std::ranges::find(table, key, [](const auto &row) { return row.first; });
    return it == table.end() ? std::string_view("unnamed") : it->second;
}

template <class Table, class Key>
Key findKey(const Table &table, std::string_view name, Key fallback)
{
    const auto it = std::ranges::find(table, name, [](const auto &row) { return row.second; });
    return it == table.end() ? fallback : it->first;
}

int refusalStatus(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::BadRequest:
        return 400;
    case RefusalReason::UnknownService:
        return 404;
    case RefusalReason::UnknownAccount:
        return 403;
    case RefusalReason::AccountOverLimit:
        return 429;
    case RefusalReason::DeadlinePassed:
        return 504;
    case RefusalReason::TooLarge:
        return 413;
    default:
        return 503;
    }
}

int unknownStatus(UnknownReason reason)
{
    switch (reason) {
    case UnknownReason::DeadlinePassed:
        return 504;
    case UnknownReason::NotSettled:
        return 503;
    default:
        return 502;
    }
}

} // namespace

std::string_view reasonName(RefusalReason reason)
{
    return findName(sRefusalNames, reason);
}

std::string_view reasonName(UnknownReason reason)
{
    return findName(sUnknownNames, reason);
}

std::string_view outcomeName(const Outcome &outcome)
{
    return std::visit(Overload{
                          [](const Answered &) { return std::string_view("answered"); },
                          [](const NotRun &) { return std::string_view("not-run"); },
                          [](const Unknown &) { return std::string_view("unknown"); },
                      },
                      outcome);
}

int httpStatus(const Outcome &outcome)
{
    return std::visit(Overload{
                          [](const Answered &answered) { return answered.status; },
                          [](const NotRun &notRun) { return refusalStatus(notRun.reason); },
                          [](const Unknown &unknown) { return unknownStatus(unknown.reason); },
                      },
                      outcome);
}

RefusalReason refusalReason(std::string_view name)
{
    return findKey(sRefusalNames, name, RefusalReason::Overloaded);
}

UnknownReason unknownReason(std::string_view name)
{
    return findKey(sUnknownNames, name, UnknownReason::LinkCut);
}

} // namespace Loom
