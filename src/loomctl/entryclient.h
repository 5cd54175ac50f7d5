/*
 * entryclient.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomctl).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "http.h"

#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <tl/expected.hpp>

namespace Loom {

/** Why a command did not do what it was told; also the process's exit code. */
enum class CommandError : unsigned char
{
    Refused = 1, ///< the system said no; nothing was changed
    BadInput = 2, ///< the command line or a file is wrong
    Unreachable = 3, ///< no entry answered; nothing was changed
    Unsettled = 4, ///< it cannot be said whether the change was made
};

struct CommandFailure
{
    CommandError error;
    std::string text;
};

template <class T> using CommandResult = tl::expected<T, CommandFailure>;

/** Talks to the operators' side of entries, one request at a time. */
class EntryClient
{
public:
    explicit EntryClient(std::vector<Tcp::endpoint> entries);

    const std::vector<Tcp::endpoint> &entries() const { return mEntries; }

    /** GET from the first entry that answers. */
    CommandResult<boost::json::object> get(std::string_view target);
    /** GET from each entry; those that do not answer give an empty object. */
    std::vector<boost::json::object> getAll(std::string_view target);
    /**
     * Submits @p operations as one change, based on what the first reachable
     * entry has folded, unless @p base names an offset.
     */
    CommandResult<boost::json::object> submit(boost::json::array operations,
                                              std::string_view author,
                                              std::optional<std::uint64_t> base);
    CommandResult<boost::json::object> post(std::string_view target);

    /** Uploads to the weight store. */
    CommandResult<void> put(const Tcp::endpoint &store, std::string target, std::string body);

private:
    tl::expected<HttpResponse, HttpError> send(HttpCall call);

    std::vector<Tcp::endpoint> mEntries;
    boost::asio::io_context mContext{1};
    HttpClient mHttp;
};

} // namespace Loom
