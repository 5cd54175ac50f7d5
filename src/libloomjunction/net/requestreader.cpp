/*
 * requestreader.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "requestreader.h"

#include "clock.h"
#include "httpfields.h"

#include <algorithm>

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace Loom {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// Of connections that wait for a request, which may be many.
constexpr std::size_t sFirstReadBytes = std::size_t{4} * 1024;
constexpr std::size_t sReadBytes = std::size_t{16} * 1024;
constexpr std::size_t sLargeReadBytes = std::size_t{64} * 1024;
// Chunks of a single byte need five bytes of framing each.
constexpr std::uint64_t sMaxFramingPerBodyByte = 8;
constexpr std::string_view sContinue = "HTTP/1.1 100 Continue\r\n\r\n";

using Parser = http::request_parser<http::string_body>;

RequestProblem problemOf(const beast::error_code &error)
{
    if (error == http::error::body_limit) {
        return RequestProblem::BodyTooLarge;
    }
    if (error == http::error::header_limit) {
        return RequestProblem::HeadTooLarge;
    }
    if (error == http::error::buffer_overflow) {
        return RequestProblem::FramingTooLarge;
    }
    if (error == asio::error::no_buffer_space) {
        return RequestProblem::NoRoom;
    }
    const bool isClosed = error == http::error::end_of_stream
        || error == http::error::partial_message || error == beast::error::timeout
        || error.category() == asio::error::get_system_category() || error == asio::error::eof;
    return isClosed ? RequestProblem::Closed : RequestProblem::Malformed;
}

tl::unexpected<RequestError> unexpected(const beast::error_code &error)
{
    return tl::unexpected(RequestError{problemOf(error), error.message()});
}

std::size_t readSize(const Parser &parser)
{
    const std::uint64_t left = parser.content_length_remaining().value_or(0);
    return std::clamp<std::uint64_t>(left, sReadBytes, sLargeReadBytes);
}

// Many heads may be unfinished, so their buffers don't exceed the limit.
std::size_t headReadSize(std::size_t bytes, const HttpLimits &limits)
{
    const std::size_t left = limits.headerBytes - std::min<std::size_t>(bytes, limits.headerBytes);
    return std::clamp(left, std::size_t{1}, sReadBytes);
}

HttpRequest requestHead(const Parser &parser)
{
    HttpRequest request;
    request.method = parser.get().method_string();
    request.target = parser.get().target();
    request.headers = copyHeaders(parser.get());
    return request;
}

} // namespace

std::string_view requestProblemName(RequestProblem problem)
{
    switch (problem) {
    case RequestProblem::Closed:
        return "closed";
    case RequestProblem::Malformed:
        return "malformed";
    case RequestProblem::HeadTooLarge:
        return "head too large";
    case RequestProblem::BodyTooLarge:
        return "body too large";
    case RequestProblem::FramingTooLarge:
        return "framing too large";
    case RequestProblem::NoRoom:
        return "no room";
    }
    return "unknown";
}

awaitable<bool> RequestReader::waitForRequest(std::chrono::milliseconds timeout)
{
    mBuffer.shrink_to_fit();
    mStream.expires_after(timeout);
    co_return !co_await readSome(sFirstReadBytes);
}

awaitable<tl::expected<ReadRequest, RequestError>> RequestReader::read(HttpLimits limits)
{
    mShare.beginRequest(now());
    mShare.noteArrival(mBuffer.size(), now());
    mHeadBytes = 0;
    Parser parser;
    parser.body_limit(limits.bodyBytes);
    parser.header_limit(limits.headerBytes);
    mStream.expires_after(limits.header);
    if (const auto error = co_await readHead(parser, limits)) {
        co_return unexpected(error);
    }
    // Taken before the body, since the parser adds trailer fields to the head.
    ReadRequest result{requestHead(parser), parser.get().keep_alive()};
    mStream.expires_after(limits.idle);
    if (!parser.is_done() && beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        co_await asio::async_write(mStream, asio::buffer(sContinue), sAsValue);
    }
    if (const auto error = co_await readBody(parser, limits)) {
        co_return unexpected(error);
    }
    mStream.expires_never();
    mShare.beginHandling(now());
    result.request.body = std::move(parser.get().body());
    co_return std::move(result);
}

awaitable<beast::error_code> RequestReader::readHead(Parser &parser, HttpLimits limits)
{
    while (!parser.is_header_done()) {
        beast::error_code error;
        const std::size_t consumed = parser.put(mBuffer.data(), error);
        mBuffer.consume(consumed);
        mHeadBytes += consumed;
        if (error && error != http::error::need_more) {
            co_return error;
        }
        error = charge(parser);
        if (!error && !parser.is_header_done()) {
            error = co_await readSome(headReadSize(mBuffer.size(), limits));
        }
        if (error) {
            co_return error;
        }
    }
    co_return beast::error_code();
}

beast::error_code RequestReader::charge(const Parser &parser)
{
    const std::uint64_t announced
        = parser.is_header_done() ? parser.content_length().value_or(0) : 0;
    const std::uint64_t body = std::max<std::uint64_t>(announced, parser.get().body().capacity());
    // The head is kept by the parser and by the request.
    const std::uint64_t held = mBuffer.capacity() + 2 * mHeadBytes + body;
    return mShare.resize(held, now()) ? beast::error_code()
                                      : beast::error_code(asio::error::no_buffer_space);
}

awaitable<beast::error_code> RequestReader::readBody(Parser &parser, HttpLimits limits)
{
    const std::string &body = parser.get().body();
    std::uint64_t framingBytes = 0;
    parser.eager(true);
    while (!parser.is_done()) {
        beast::error_code error;
        if (mBuffer.size() > 0) {
            const std::size_t bodyBytes = body.size();
            const std::size_t consumed = parser.put(mBuffer.data(), error);
            mBuffer.consume(consumed);
            framingBytes += consumed - (body.size() - bodyBytes);
        }
        // The parser needs a chunk's line, or all trailer fields, as a whole.
        const bool isLineTooLong
            = error == http::error::need_more && mBuffer.size() > limits.headerBytes;
        if (isLineTooLong
            || framingBytes > limits.headerBytes + sMaxFramingPerBodyByte * body.size()) {
            co_return http::error::buffer_overflow;
        }
        if (!error || error == http::error::need_more) {
            error = charge(parser);
        }
        if (!error && !parser.is_done()) {
            error = co_await readSome(readSize(parser));
        }
        if (error) {
            co_return error;
        }
    }
    co_return beast::error_code();
}

awaitable<beast::error_code> RequestReader::readSome(std::size_t maxBytes)
{
    auto [error, size] = co_await mStream.async_read_some(mBuffer.prepare(maxBytes), sAsValue);
    mBuffer.commit(size);
    mShare.noteArrival(size, now());
    const bool isRefused = mShare.isCut() && mStream.socket().is_open();
    co_return isRefused ? beast::error_code(asio::error::no_buffer_space) : error;
}

} // namespace Loom
