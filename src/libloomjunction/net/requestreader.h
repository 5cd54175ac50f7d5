/*
 * requestreader.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "connectionbudget.h"
#include "http.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Loom {

/** Why no request was read. */
enum class RequestProblem : std::uint8_t
{
    Closed, ///< the connection ended, or nothing arrived in time
    Malformed, ///< bytes that are no request
    HeadTooLarge,
    BodyTooLarge,
    FramingTooLarge, ///< lines of chunks, or trailer fields
    NoRoom, ///< requests of other connections use all the memory, or this one was too slow
};

std::string_view requestProblemName(RequestProblem problem);

struct RequestError
{
    RequestProblem problem = RequestProblem::Closed;
    std::string text;
};

struct ReadRequest
{
    HttpRequest request;
    bool keepAlive = true;
};

/**
 * Reads the requests that arrive on one connection one after the other. What is kept of a request
 * besides its body is bounded by HttpLimits::headerBytes, however the bytes are framed.
 */
class RequestReader
{
public:
    RequestReader(boost::beast::tcp_stream &stream, ConnectionBudget::Share &share)
        : mStream(stream)
        , mShare(share)
    {
    }

    /** Waits for the first bytes of a request; false: the connection ended. */
    awaitable<bool> waitForRequest(std::chrono::milliseconds timeout);
    bool hasUnparsedBytes() const { return mBuffer.size() > 0; }
    /** Reads a request. Trailer fields are dropped. */
    awaitable<tl::expected<ReadRequest, RequestError>> read(HttpLimits limits);

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    awaitable<boost::beast::error_code> readHead(Parser &parser, HttpLimits limits);
    awaitable<boost::beast::error_code> readBody(Parser &parser, HttpLimits limits);
    awaitable<boost::beast::error_code> readSome(std::size_t maxBytes);

    /** Charges what is kept of the request. */
    boost::beast::error_code charge(const Parser &parser);

    boost::beast::tcp_stream &mStream;
    ConnectionBudget::Share &mShare;
    boost::beast::flat_buffer mBuffer;
    std::size_t mHeadBytes = 0; ///< of the request that is read
};

} // namespace Loom
