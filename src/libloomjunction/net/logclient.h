/*
 * logclient.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "http.h"
#include "wire.pb.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

/** Why the platform's log gave no answer. */
enum class LogError : std::uint8_t
{
    NotDone, ///< the log surely did not act
    Uncertain, ///< the record may have been appended
};

/** Records read from one stream of the log. */
struct LogBatch
{
    std::uint64_t first = 0; ///< oldest offset still kept
    std::uint64_t next = 0; ///< offset the next append gets
    std::uint64_t retentionMs = 0;
    std::vector<wire::StoredRecord> records;
};

/** Client of the platform's append-only log service. Owned by the kernel's owner. */
class LogClient
{
public:
    LogClient(HttpClient &http, const Tcp::endpoint &endpoint)
        : mHttp(http)
        , mEndpoint(endpoint)
    {
    }

    /** Appends @p data and gives its offset. */
    awaitable<tl::expected<std::uint64_t, LogError>>
    append(std::string_view stream, std::string data, std::chrono::milliseconds timeout);

    /** Reads from @p from on, waiting up to @p wait for a first record. */
    awaitable<tl::expected<LogBatch, LogError>> read(std::string_view stream, std::uint64_t from,
                                                     std::chrono::milliseconds wait);

private:
    HttpClient &mHttp;
    Tcp::endpoint mEndpoint;
};

std::string toBase64(std::string_view data);
std::string fromBase64(std::string_view text);

} // namespace Loom
