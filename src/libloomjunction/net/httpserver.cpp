/*
 * httpserver.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "http.h"

#include "clock.h"
#include "httpfields.h"
#include "listener.h"
#include "requestreader.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <set>
#include <tuple>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <poll.h>

namespace Loom {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// Without a bound the system would keep megabytes of each connection that isn't read, while its
// request is handled. A body of 4 MB takes two seconds on a link with 60 ms of round trip.
constexpr int sReceiveBytes = 128 * 1024;
constexpr std::chrono::seconds sStalledInterval{2};
// Limits of reading what a client sends behind its refusal.
constexpr std::chrono::seconds sDropTime{2};
constexpr std::size_t sMaxDropping = 128;
constexpr std::uint64_t sDroppedSurplusBytes = std::uint64_t{1024} * 1024;
constexpr std::size_t sDropBufferBytes = std::size_t{16} * 1024;
// Room is given back when requests end.
constexpr std::string_view sRetryAfterSeconds = "1";
// A HEAD request's answer has headers only, whatever they say of a body.
constexpr std::string_view sHeadMethod = "HEAD";

// How often a caller is looked at whose next request lies there already: the loop
// would tell of those bytes again and again, and of no close behind them.
constexpr std::chrono::milliseconds sLookEvery{20};

/** What a caller's connection shows while its request is under way. */
enum class CallerSign : std::uint8_t
{
    Quiet,
    Talks, ///< bytes of a next request lie there
    Gone, ///< it has closed, whatever lies before the close
};

// A byte that lies before the close hides it from a read, but not from poll().
CallerSign signOf(Tcp::socket &socket)
{
    if (!socket.is_open()) {
        return CallerSign::Gone;
    }
    pollfd asked{socket.native_handle(), POLLIN | POLLRDHUP, 0};
    int found = 0;
    do {
        found = ::poll(&asked, 1, 0);
    } while (found < 0 && errno == EINTR);
    constexpr int gone = POLLRDHUP | POLLHUP | POLLERR | POLLNVAL;
    if (found < 0 || (asked.revents & gone) != 0) {
        return CallerSign::Gone;
    }
    return found == 0 ? CallerSign::Quiet : CallerSign::Talks;
}

/**
 * Tells a handler once that its caller has closed the connection. A caller that sends too much
 * behind its request counts as gone.
 */
class GoneWatch : public std::enable_shared_from_this<GoneWatch>
{
public:
    GoneWatch(Tcp::socket &socket, ConnectionBudget::Share &share, std::function<void()> onGone)
        : mSocket(socket)
        , mShare(share)
        , mOnGone(std::move(onGone))
        , mNextLook(socket.get_executor())
    {
    }

    // The close may lie behind the request already, as after a standstill.
    void begin() { look({}); }

private:
    // The wait may outlive the exchange: it then finds nobody.
    void wait(CallerSign sign)
    {
        const auto again = [weak = weak_from_this()](const boost::system::error_code &error) {
            if (const auto self = weak.lock()) {
                self->look(error);
            }
        };
        if (sign == CallerSign::Quiet) {
            mSocket.async_wait(Tcp::socket::wait_read, again);
            return;
        }
        mNextLook.expires_after(sLookEvery);
        mNextLook.async_wait(again);
    }

    void look(const boost::system::error_code &waitError)
    {
        if (waitError == asio::error::operation_aborted) {
            return;
        }
        const CallerSign sign = signOf(mSocket);
        if (sign != CallerSign::Gone && mayKeepUnread(sign)) {
            wait(sign);
            return;
        }
        if (mOnGone) {
            mOnGone();
        }
    }

    bool mayKeepUnread(CallerSign sign)
    {
        boost::system::error_code ignored;
        if (sign == CallerSign::Quiet || mShare.noteUnread(mSocket.available(ignored))) {
            return true;
        }
        mSocket.close(ignored);
        return false;
    }

    Tcp::socket &mSocket;
    ConnectionBudget::Share &mShare;
    std::function<void()> mOnGone;
    asio::steady_timer mNextLook;
};

class ServerExchange;

/** What all connections of one server share. */
struct ServerState
{
    HttpLimits limits;
    bool isDraining = false;
    bool isStopped = false;
    std::set<beast::tcp_stream *> idle; ///< connections that wait for a request
    std::set<ServerExchange *> exchanges;
    std::size_t dropping = 0; ///< refused connections whose bytes are read and dropped
    std::array<char, sDropBufferBytes> dropped{}; ///< all of them read into it
};

/** A connection of a client, and what it holds. */
struct Connection
{
    Connection(ConnectionBudget &budget, Tcp::socket socket)
        : stream(std::move(socket))
        , share(
              budget, [this](CutReason reason) { makeRoom(reason); }, now())
        , reader(stream, share)
    {
    }

    /** The client's address, if it is still connected. */
    Tcp::endpoint client()
    {
        boost::system::error_code ignored;
        return stream.socket().remote_endpoint(ignored);
    }

    // A request that is refused for want of memory can still be answered.
    void makeRoom(CutReason reason)
    {
        if (reason == CutReason::Memory) {
            stream.cancel();
        } else {
            stream.close();
        }
    }

    beast::tcp_stream stream;
    ConnectionBudget::Share share;
    RequestReader reader;
};

class ServerExchange final : public HttpExchange
{
public:
    ServerExchange(Connection &connection, HttpRequest request, bool keepAlive, ServerState &state)
        : mStream(connection.stream)
        , mShare(connection.share)
        , mRequest(std::make_shared<const HttpRequest>(std::move(request)))
        , mKeepAlive(keepAlive)
        , mState(state)
    {
        mState.exchanges.insert(this);
    }
    ~ServerExchange() override { mState.exchanges.erase(this); }
    ServerExchange(const ServerExchange &) = delete;
    ServerExchange &operator=(const ServerExchange &) = delete;

    const HttpRequest &request() const override { return *mRequest; }
    std::shared_ptr<const HttpRequest> sharedRequest() const override { return mRequest; }

    awaitable<bool> respond(HttpResponse response) override
    {
        mHasBegun = true;
        decideKeepAlive();
        http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
        fillHeaders(message, response.headers);
        message.body() = std::move(response.body);
        message.keep_alive(mKeepAlive);
        // The length of a replica's answer to HEAD is not known here.
        if (!isHead() || !message.body().empty()) {
            message.prepare_payload();
        }
        if (isHead()) {
            message.body().clear();
        }
        http::response_serializer<http::string_body> serializer(message);
        beast::error_code error;
        while (!error && !serializer.is_done()) {
            mWritesSince = now();
            std::tie(error, std::ignore)
                = co_await http::async_write_some(mStream, serializer, sAsValue);
        }
        co_return noteSent(!error, true);
    }

    awaitable<bool> beginStream(HttpResponse head) override
    {
        mHasBegun = true;
        decideKeepAlive();
        http::response<http::empty_body> message(static_cast<http::status>(head.status), 11);
        fillHeaders(message, head.headers);
        message.keep_alive(mKeepAlive);
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer(message);
        mWritesSince = now();
        auto [error, sent] = co_await http::async_write_header(mStream, serializer, sAsValue);
        co_return noteSent(!error, false);
    }

    awaitable<bool> write(std::string_view data) override
    {
        if (data.empty() || isHead()) {
            co_return mAlive;
        }
        auto chunk = http::make_chunk(asio::buffer(data.data(), data.size()));
        beast::buffers_suffix left(chunk);
        beast::error_code error;
        while (!error && beast::buffer_bytes(left) > 0) {
            std::size_t sent = 0;
            mWritesSince = now();
            std::tie(error, sent) = co_await mStream.async_write_some(left, sAsValue);
            left.consume(sent);
        }
        co_return noteSent(!error, false);
    }

    awaitable<bool> endStream() override
    {
        if (isHead()) {
            co_return noteSent(true, true);
        }
        mWritesSince = now();
        auto [error, sent] = co_await asio::async_write(mStream, http::make_chunk_last(), sAsValue);
        co_return noteSent(!error, true);
    }

    /** Says that the request has an unknown end, or cuts an answer that has begun. */
    awaitable<void> fail()
    {
        if (mHasBegun) {
            abort();
            co_return;
        }
        mKeepAlive = false;
        HttpResponse response = HttpResponse::json(500, R"({"error":"internal"})");
        co_await respond(std::move(response));
    }

    void abort() override
    {
        mAlive = false;
        mStream.close();
    }

    void watchCaller(std::function<void()> onGone) override
    {
        mWatch = std::make_shared<GoneWatch>(mStream.socket(), mShare, std::move(onGone));
        mWatch->begin();
    }

    bool hasCallerLeft() override { return signOf(mStream.socket()) == CallerSign::Gone; }

    asio::any_io_executor executor() override { return mStream.get_executor(); }
    /** Since when the client has taken nothing of what is sent; empty if it isn't behind. */
    std::optional<Instant> writesSince() const { return mWritesSince; }
    bool mayContinue() const { return mAlive && mComplete && mKeepAlive; }

private:
    /** Whether the answer ends with its head. */
    bool isHead() const { return mRequest->method == sHeadMethod; }
    void decideKeepAlive() { mKeepAlive = mKeepAlive && !mState.isDraining && !mState.isStopped; }

    bool noteSent(bool good, bool complete)
    {
        mWritesSince.reset();
        mAlive = mAlive && good;
        mComplete = mComplete || complete;
        return mAlive;
    }

    beast::tcp_stream &mStream;
    ConnectionBudget::Share &mShare;
    std::shared_ptr<const HttpRequest> mRequest;
    bool mKeepAlive;
    ServerState &mState;
    std::optional<Instant> mWritesSince;
    std::shared_ptr<GoneWatch> mWatch;
    bool mAlive = true;
    bool mHasBegun = false; ///< something of an answer was sent
    bool mComplete = false;
};

HttpResponse refusalOf(RequestProblem problem)
{
    switch (problem) {
    case RequestProblem::BodyTooLarge:
        return HttpResponse::json(413, R"({"error":"body: larger than the limit"})");
    case RequestProblem::HeadTooLarge:
        return HttpResponse::json(431, R"({"error":"headers: larger than the limit"})");
    case RequestProblem::FramingTooLarge:
        return HttpResponse::json(431,
                                  R"({"error":"chunk lines or trailers: larger than the limit"})");
    case RequestProblem::NoRoom: {
        HttpResponse response = HttpResponse::json(503, R"({"error":"no room for the request"})");
        response.headers.push_back({"Retry-After", std::string(sRetryAfterSeconds)});
        return response;
    }
    case RequestProblem::Closed:
    case RequestProblem::Malformed:
        break;
    }
    return HttpResponse::json(400, R"({"error":"request: not valid HTTP"})");
}

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl>
{
public:
    Impl(const asio::any_io_executor &executor, HttpHandler handler, HttpLimits limits)
        : mExecutor(executor)
        , mHandler(std::move(handler))
    {
        mState.limits = limits;
    }

    tl::expected<void, std::string> listen(const Tcp::endpoint &endpoint)
    {
        mListener = std::make_shared<Listener>(
            mExecutor, [weak = weak_from_this()](Tcp::socket socket) {
                if (const auto self = weak.lock()) {
                    asio::co_spawn(self->mExecutor, serve(self, std::move(socket)), asio::detached);
                }
            });
        mListener->setReceiveBytes(sReceiveBytes);
        asio::co_spawn(mExecutor, closeStalled(weak_from_this()), asio::detached);
        return mListener->listen(endpoint);
    }

    Tcp::endpoint localEndpoint() const { return mListener->localEndpoint(); }
    void setLimits(HttpLimits limits) { mState.limits = limits; }
    void setBudget(std::shared_ptr<ConnectionBudget> budget) { mBudget = std::move(budget); }
    void setLossHandler(HttpLossHandler onLoss) { mOnLoss = std::move(onLoss); }
    void beginDrain() { mState.isDraining = true; }

    void stop()
    {
        mState.isStopped = true;
        if (mListener) {
            mListener->stop();
        }
    }

    void closeIdle()
    {
        for (beast::tcp_stream *stream : mState.idle) {
            stream->cancel();
        }
    }

private:
    // Ends exchanges whose clients take nothing of their answers. A timer for each piece that is
    // written would cost more.
    static awaitable<void> closeStalled(std::weak_ptr<Impl> weak)
    {
        while (true) {
            co_await sleepFor(sStalledInterval);
            const auto self = weak.lock();
            if (!self || self->mState.isStopped) {
                co_return;
            }
            const Instant latest = now() - self->mState.limits.idle;
            for (ServerExchange *exchange : self->mState.exchanges) {
                if (exchange->writesSince().value_or(Instant::max()) < latest) {
                    exchange->abort();
                }
            }
        }
    }

    static awaitable<void> serve(std::shared_ptr<Impl> self, Tcp::socket socket)
    {
        Connection connection(*self->mBudget, std::move(socket));
        bool open = !connection.share.isCut();
        while (open) {
            open = co_await serveOne(*self, connection) && !self->mState.isStopped;
            connection.share.endRequest(now());
        }
        boost::system::error_code ignored;
        connection.stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    }

    // Waits for the first bytes of a request, as long as a connection may rest.
    static awaitable<bool> waitForRequest(Impl &self, Connection &connection)
    {
        if (connection.reader.hasUnparsedBytes()) {
            co_return true;
        }
        self.mState.idle.insert(&connection.stream);
        const bool hasBegun = co_await connection.reader.waitForRequest(self.mState.limits.idle);
        self.mState.idle.erase(&connection.stream);
        co_return hasBegun;
    }

    static awaitable<bool> serveOne(Impl &self, Connection &connection)
    {
        if (!co_await waitForRequest(self, connection)) {
            co_return false;
        }
        auto read = co_await connection.reader.read(self.mState.limits);
        if (!read) {
            const RequestError &error = read.error();
            self.noteLoss({HttpLoss::NotRead, requestProblemName(error.problem), error.text,
                           connection.client()});
            co_await refuse(connection, error.problem, self.mState);
            co_return false;
        }
        ServerExchange exchange(connection, std::move(read->request), read->keepAlive, self.mState);
        const std::optional<std::string> thrown = co_await handle(self, exchange);
        if (thrown) {
            self.noteLoss({HttpLoss::Thrown, "exception", *thrown, connection.client()});
            co_await exchange.fail();
        }
        co_return exchange.mayContinue();
    }

    // What the handler threw, if it did. Its caller would see no more than a close.
    static awaitable<std::optional<std::string>> handle(Impl &self, ServerExchange &exchange)
    {
        try {
            co_await self.mHandler(exchange);
        } catch (const std::exception &error) {
            co_return std::string(error.what());
        }
        co_return std::nullopt;
    }

    void noteLoss(const HttpLossReport &report) const
    {
        if (mOnLoss) {
            mOnLoss(report);
        }
    }

    static awaitable<void> refuse(Connection &connection, RequestProblem problem,
                                  ServerState &state)
    {
        if (problem == RequestProblem::Closed) {
            co_return;
        }
        ServerExchange refusal(connection, {}, false, state);
        if (co_await refusal.respond(refusalOf(problem))) {
            co_await drop(connection, state);
        }
    }

    // A close with unread bytes resets the connection, and a client that is still sending would
    // lose the answer that says why.
    static awaitable<void> drop(Connection &connection, ServerState &state)
    {
        if (state.dropping >= sMaxDropping) {
            co_return;
        }
        ++state.dropping;
        boost::system::error_code error;
        connection.stream.socket().shutdown(Tcp::socket::shutdown_send, error);
        connection.stream.expires_after(sDropTime);
        std::uint64_t left = state.limits.bodyBytes + sDroppedSurplusBytes;
        while (!error && left > 0) {
            std::size_t size = 0;
            std::tie(error, size)
                = co_await connection.stream.async_read_some(asio::buffer(state.dropped), sAsValue);
            left -= std::min<std::uint64_t>(left, size);
        }
        --state.dropping;
    }

    asio::any_io_executor mExecutor;
    HttpHandler mHandler;
    HttpLossHandler mOnLoss;
    std::shared_ptr<ConnectionBudget> mBudget = std::make_shared<ConnectionBudget>();
    ServerState mState;
    std::shared_ptr<Listener> mListener;
};

HttpServer::HttpServer(const asio::any_io_executor &executor, HttpHandler handler,
                       HttpLimits limits)
    : mImpl(std::make_shared<Impl>(executor, std::move(handler), limits))
{
}

HttpServer::~HttpServer()
{
    mImpl->stop();
}

tl::expected<void, std::string> HttpServer::listen(const Tcp::endpoint &endpoint)
{
    return mImpl->listen(endpoint);
}

Tcp::endpoint HttpServer::localEndpoint() const
{
    return mImpl->localEndpoint();
}

void HttpServer::setLimits(HttpLimits limits)
{
    mImpl->setLimits(limits);
}

void HttpServer::setBudget(std::shared_ptr<ConnectionBudget> budget)
{
    mImpl->setBudget(std::move(budget));
}

void HttpServer::setLossHandler(HttpLossHandler onLoss)
{
    mImpl->setLossHandler(std::move(onLoss));
}

void HttpServer::beginDrain()
{
    mImpl->beginDrain();
}

void HttpServer::stopListening()
{
    mImpl->stop();
}

void HttpServer::closeIdle()
{
    mImpl->closeIdle();
}

} // namespace Loom
