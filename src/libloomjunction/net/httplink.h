/*
 * httplink.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "bootclock.h"
#include "http.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace Loom {

/** Why an exchange on a link failed. */
enum class LinkError : std::uint8_t
{
    NotConnected, ///< nothing was sent
    Closed, ///< the other side ended or reset the connection before the answer was whole
    Malformed, ///< bytes that are no answer
    TimedOut,
    Cancelled, ///< cancel() was called
};

/** A request as it goes out; the views must live until the answer's head is there. */
struct LinkRequest
{
    std::string_view method;
    std::string_view target;
    std::span<const HttpHeader> headers;
    std::string_view body;
};

struct LinkHead
{
    int status = 0;
    std::vector<HttpHeader> headers;

    std::string_view header(std::string_view name) const;
};

/**
 * One HTTP/1.1 connection to an upstream, whose answers are read piece by
 * piece as they come. It can be used again only after an answer that was
 * framed and whole, with nothing behind it. Owned by the pool or the request.
 */
class HttpLink
{
public:
    using Deadline = std::chrono::steady_clock::time_point;

    static awaitable<tl::expected<std::unique_ptr<HttpLink>, LinkError>>
    connect(Tcp::endpoint endpoint, std::chrono::milliseconds timeout);

    ~HttpLink();

    /**
     * Sends @p request and reads the answer's head, which may come before the
     * body is out. TimedOut, Closed and Malformed leave open whether it ran.
     */
    awaitable<tl::expected<LinkHead, LinkError>> exchange(LinkRequest request, Deadline deadline);
    /** Passes over the answer in hand and reads the next one's head. */
    awaitable<tl::expected<LinkHead, LinkError>> nextHead(Deadline deadline);
    /** More of the body; empty at its whole end. The view holds until the next call. */
    awaitable<tl::expected<std::string_view, LinkError>> readBody(Deadline deadline);
    /** The whole body, at most @p most bytes. */
    awaitable<tl::expected<std::string, LinkError>> readWhole(std::size_t most, Deadline deadline);

    /**
     * Ends what is under way with Cancelled; the link is of no more use. Without a
     * whole answer the connection is reset: what has not left yet is dropped.
     */
    void cancel();

    /** The answer's head states where its body ends; otherwise it ends with the connection. */
    bool isFramed() const;
    /** The answer is whole, was framed, and another request may follow. */
    bool isReusable() const;
    /** Nothing came in and the other side has not closed, as far as can be seen. */
    bool isQuiet();
    /** Until when the other side keeps the link open while idle. */
    BootClock::time_point usableUntil() const;

private:
    class Impl;
    explicit HttpLink(std::shared_ptr<Impl> impl);
    std::shared_ptr<Impl> mImpl;
};

} // namespace Loom
