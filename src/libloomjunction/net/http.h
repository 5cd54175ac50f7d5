/*
 * http.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "asynctypes.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Loom {

class ConnectionBudget;

struct HttpHeader
{
    std::string name;
    std::string value;
};

/** A request as a handler sees it. */
struct HttpRequest
{
    std::string method;
    std::string target; ///< path and query
    std::vector<HttpHeader> headers;
    std::string body;

    std::string_view path() const;
    /** A query parameter, percent-decoding not done; nothing where it is absent. */
    std::optional<std::string_view> query(std::string_view name) const;
    /** A header's value by case-insensitive name; empty where it is absent. */
    std::string_view header(std::string_view name) const;
};

struct HttpResponse
{
    int status = 200;
    std::vector<HttpHeader> headers;
    std::string body;

    std::string_view header(std::string_view name) const;
    static HttpResponse json(int status, std::string body);
};

/** One request under way at a server; the handler answers it exactly once. */
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;
    virtual const HttpRequest &request() const = 0;
    /** The same, for what may outlive the exchange. */
    virtual std::shared_ptr<const HttpRequest> sharedRequest() const = 0;

    /** Sends the whole answer; false when the caller is gone. */
    virtual awaitable<bool> respond(HttpResponse response) = 0;

    /** Begins an answer in pieces; endStream() makes it whole. */
    virtual awaitable<bool> beginStream(HttpResponse head) = 0;
    virtual awaitable<bool> write(std::string_view data) = 0;
    virtual awaitable<bool> endStream() = 0;
    /** Cuts the connection, so that what was sent never looks whole. */
    virtual void abort() = 0;
    /** Calls @p onGone once, when the caller closes before the answer is out. */
    virtual void watchCaller(std::function<void()> onGone) = 0;
    /** Whether the caller has closed by now; asks the socket, where watchCaller() waits for the
     * loop. */
    virtual bool hasCallerLeft() = 0;
    virtual asio::any_io_executor executor() = 0;
};

struct HttpLimits
{
    std::uint64_t bodyBytes = std::uint64_t{4} * 1024 * 1024;
    std::uint32_t headerBytes = 16 * 1024;
    std::chrono::milliseconds idle{60'000}; ///< for a request to begin, and for its body
    std::chrono::milliseconds header{60'000}; ///< from the first byte to the whole header
};

using HttpHandler = std::function<awaitable<void>(HttpExchange &)>;

/** Why a connection ended although a request had begun to arrive or was not answered. */
enum class HttpLoss : std::uint8_t
{
    NotRead, ///< its bytes ended, or stopped, before it was whole
    Thrown, ///< its handler ended by an exception
};
/** The views hold during the call only. */
struct HttpLossReport
{
    HttpLoss loss = HttpLoss::NotRead;
    std::string_view problem; ///< one of few, e.g. as a label
    std::string_view detail;
    Tcp::endpoint client;
};
using HttpLossHandler = std::function<void(const HttpLossReport &report)>;

/** Serves HTTP/1.1 on one address. Bad input is answered by itself, as 4xx. */
class HttpServer
{
public:
    HttpServer(const asio::any_io_executor &executor, HttpHandler handler, HttpLimits limits = {});
    ~HttpServer();

    /** Starts to listen; the error tells why it cannot. */
    tl::expected<void, std::string> listen(const Tcp::endpoint &endpoint);
    /** The address in use, e.g. after asking for port 0. */
    Tcp::endpoint localEndpoint() const;
    /** Holds for connections that are open, too. */
    void setLimits(HttpLimits limits);
    /** Shares the bounds on what clients hold with other servers; before listen(). */
    void setBudget(std::shared_ptr<ConnectionBudget> budget);
    /** Tells of requests that no handler answered. */
    void setLossHandler(HttpLossHandler onLoss);
    /** From now on every answer closes its connection; new ones are still taken. */
    void beginDrain();
    /** Takes no new connections and closes open ones after their answer. */
    void stopListening();
    /** Closes the connections on which no request is under way. */
    void closeIdle();

private:
    class Impl;
    std::shared_ptr<Impl> mImpl;
};

/** How far a client call got before it failed. */
enum class HttpFailure : std::uint8_t
{
    NotConnected, ///< nothing was sent
    Cut, ///< the server may have acted
    TimedOut, ///< the server may have acted
    Aborted, ///< the data handler gave up
    TooLarge, ///< the answer exceeds HttpCall::maxBodyBytes; the server may have acted
    Malformed, ///< the head of the answer is none; the server may have acted
};

struct HttpError
{
    HttpFailure failure = HttpFailure::NotConnected;
    std::string text;
};

struct HttpCall
{
    Tcp::endpoint endpoint;
    std::string method;
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;
    std::chrono::milliseconds timeout{5'000};
    /** An answer that goes on arriving may take longer: each piece has this time anew, four
        times at most. */
    std::chrono::milliseconds pieceTimeout{0};
    /** An answer that is kept whole may have a body of this size. */
    std::size_t maxBodyBytes = std::size_t{16} * 1024 * 1024;
    /** False for servers whose few connections many callers share: it ends with the call. */
    bool keepsConnection = true;
};

/** Takes the body in pieces, with the answer's status and headers; false aborts the call. */
using HttpDataHandler
    = std::function<awaitable<bool>(const HttpResponse &head, std::string_view data)>;

/** HTTP/1.1 client with kept connections. One thread only. */
class HttpClient
{
public:
    explicit HttpClient(const asio::any_io_executor &executor);
    ~HttpClient();

    awaitable<tl::expected<HttpResponse, HttpError>> send(HttpCall call);
    /** As send(), but the body goes to @p onData and not into the response. */
    awaitable<tl::expected<HttpResponse, HttpError>> stream(HttpCall call, HttpDataHandler onData);
    /** Cuts the connections of all calls under way, which then fail. */
    void cancel();

private:
    class Impl;
    std::shared_ptr<Impl> mImpl;
};

} // namespace Loom
