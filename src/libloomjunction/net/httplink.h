/*
 * httplink.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "answerlimits.h"
#include "bootclock.h"
#include "http.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
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
    Endless, ///< bytes without end, see HttpLink::endlessPart()
};

/** A request as it goes out; the views must live until the answer's head is there. */
struct LinkRequest
{
    std::string_view method;
    std::string_view target;
    std::span<const HttpHeader> headers;
    std::string_view body;
    /** Owns the body, which may still be sent when the answer is there; else it is copied. */
    std::shared_ptr<const void> bodyOwner;
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
    connect(Tcp::endpoint endpoint, std::chrono::milliseconds timeout, AnswerLimits limits = {});

    ~HttpLink();

    /**
     * Sends @p request and reads the answer's head, which may come before the
     * body is out. TimedOut, Closed and Malformed leave open whether it ran.
     */
    awaitable<tl::expected<LinkHead, LinkError>> exchange(LinkRequest request, Deadline deadline);
    /** Passes over the answer in hand, if it is short, and reads the next one's head. */
    awaitable<tl::expected<LinkHead, LinkError>> nextHead(Deadline deadline);
    /** More of the body; empty at its whole end. The view holds until the next call. */
    awaitable<tl::expected<std::string_view, LinkError>> readBody(Deadline deadline);
    /** Told of the bytes that are about to be kept; false: they may not be. */
    using KeepHandler = std::function<bool(std::size_t bytes)>;
    /** The whole body; Endless if it is longer than @p most bytes or @p mayKeep refuses. */
    awaitable<tl::expected<std::string, LinkError>> readWhole(std::size_t most, Deadline deadline,
                                                              KeepHandler mayKeep = {});
    /** Passes over the rest of the body; Endless if it is longer than @p most bytes. */
    awaitable<tl::expected<void, LinkError>> skipBody(std::size_t most, Deadline deadline);

    /**
     * Ends what is under way with Cancelled; the link is of no more use. Without a
     * whole answer the connection is reset: what has not left yet is dropped.
     */
    void cancel();

    /** Requests sent on this connection before the one of the last exchange(). */
    std::size_t earlierRequestCount() const;
    /** The answer's head states where its body ends; otherwise it ends with the connection. */
    bool isFramed() const;
    /** Length of the body that the answer's head states; empty if it states none. */
    std::optional<std::uint64_t> bodyLength() const;
    /** Bytes of the answer's body that have been read. */
    std::size_t bodyBytesRead() const;
    /** Where the server sent bytes without end, after a failure with Endless. */
    EndlessPart endlessPart() const;
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
