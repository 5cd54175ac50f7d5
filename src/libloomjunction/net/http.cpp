/*
 * http.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "http.h"

#include "listener.h"

#include <algorithm>
#include <deque>
#include <map>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Loom {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t sReadPieceBytes = std::size_t{64} * 1024;
constexpr std::size_t sMostIdlePerServer = 256;
constexpr std::string_view sJsonType = "application/json";

std::string_view headerIn(const std::vector<HttpHeader> &headers, std::string_view name)
{
    const auto it = std::ranges::find_if(
        headers, [&](const HttpHeader &header) { return beast::iequals(header.name, name); });
    return it == headers.end() ? std::string_view() : std::string_view(it->value);
}

template <class Fields> std::vector<HttpHeader> copyHeaders(const Fields &fields)
{
    std::vector<HttpHeader> headers;
    for (const auto &field : fields) {
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return headers;
}

HttpRequest toRequest(http::request<http::string_body> &&message)
{
    HttpRequest request;
    request.method = message.method_string();
    request.target = message.target();
    request.headers = copyHeaders(message);
    request.body = std::move(message.body());
    return request;
}

template <class Message> void fillHeaders(Message &message, const std::vector<HttpHeader> &headers)
{
    for (const HttpHeader &header : headers) {
        message.insert(header.name, header.value);
    }
}

} // namespace

std::string_view HttpRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::optional<std::string_view> HttpRequest::query(std::string_view name) const
{
    const std::size_t mark = target.find('?');
    std::string_view rest = mark == std::string::npos ? std::string_view()
                                                      : std::string_view(target).substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
        }
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return std::nullopt;
}

std::string_view HttpRequest::header(std::string_view name) const
{
    return headerIn(headers, name);
}

std::string_view HttpResponse::header(std::string_view name) const
{
    return headerIn(headers, name);
}

HttpResponse HttpResponse::json(int status, std::string body)
{
    return {status, {{"Content-Type", std::string(sJsonType)}}, std::move(body)};
}

// ---- Server ----------------------------------------------------------------

namespace {

class ServerExchange final : public HttpExchange
{
public:
    ServerExchange(beast::tcp_stream &stream, HttpRequest request, bool keepAlive)
        : mStream(stream)
        , mRequest(std::move(request))
        , mKeepAlive(keepAlive)
    {
    }

    const HttpRequest &request() const override { return mRequest; }

    awaitable<bool> respond(HttpResponse response) override
    {
        http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
        fillHeaders(message, response.headers);
        message.body() = std::move(response.body);
        message.keep_alive(mKeepAlive);
        message.prepare_payload();
        auto [error, sent] = co_await http::async_write(mStream, message, sAsValue);
        co_return noteSent(!error, true);
    }

    awaitable<bool> beginStream(HttpResponse head) override
    {
        http::response<http::empty_body> message(static_cast<http::status>(head.status), 11);
        fillHeaders(message, head.headers);
        message.keep_alive(mKeepAlive);
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer(message);
        auto [error, sent] = co_await http::async_write_header(mStream, serializer, sAsValue);
        co_return noteSent(!error, false);
    }

    awaitable<bool> write(std::string_view data) override
    {
        if (data.empty()) {
            co_return mAlive;
        }
        auto [error, sent] = co_await asio::async_write(
            mStream, http::make_chunk(asio::buffer(data.data(), data.size())), sAsValue);
        co_return noteSent(!error, false);
    }

    awaitable<bool> endStream() override
    {
        auto [error, sent] = co_await asio::async_write(mStream, http::make_chunk_last(), sAsValue);
        co_return noteSent(!error, true);
    }

    void abort() override
    {
        mAlive = false;
        mStream.close();
    }

    bool mayContinue() const { return mAlive && mComplete && mKeepAlive; }

private:
    bool noteSent(bool good, bool complete)
    {
        mAlive = mAlive && good;
        mComplete = mComplete || complete;
        return mAlive;
    }

    beast::tcp_stream &mStream;
    HttpRequest mRequest;
    bool mKeepAlive;
    bool mAlive = true;
    bool mComplete = false;
};

HttpResponse badInput(const beast::error_code &error)
{
    if (error == http::error::body_limit) {
        return HttpResponse::json(413, R"({"error":"body: larger than the limit"})");
    }
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return HttpResponse::json(431, R"({"error":"headers: larger than the limit"})");
    }
    return HttpResponse::json(400, R"({"error":"request: not valid HTTP"})");
}

bool isPeerGone(const beast::error_code &error)
{
    return error == http::error::end_of_stream || error == http::error::partial_message
        || error == beast::error::timeout || error.category() == asio::error::get_system_category()
        || error == asio::error::eof;
}

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl>
{
public:
    Impl(const asio::any_io_executor &executor, HttpHandler handler, HttpLimits limits)
        : mExecutor(executor)
        , mHandler(std::move(handler))
        , mLimits(limits)
    {
    }

    tl::expected<void, std::string> listen(const Tcp::endpoint &endpoint)
    {
        mListener = std::make_shared<Listener>(
            mExecutor, [weak = weak_from_this()](Tcp::socket socket) {
                if (const auto self = weak.lock()) {
                    asio::co_spawn(self->mExecutor, serve(self, std::move(socket)), asio::detached);
                }
            });
        return mListener->listen(endpoint);
    }

    Tcp::endpoint localEndpoint() const { return mListener->localEndpoint(); }

    void stop()
    {
        mStopping = true;
        if (mListener) {
            mListener->stop();
        }
    }

private:
    static awaitable<void> serve(std::shared_ptr<Impl> self, Tcp::socket socket)
    {
        beast::tcp_stream stream(std::move(socket));
        beast::flat_buffer buffer;
        bool open = true;
        while (open) {
            open = co_await serveOne(*self, stream, buffer) && !self->mStopping;
        }
        boost::system::error_code ignored;
        stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    }

    static awaitable<bool> serveOne(Impl &self, beast::tcp_stream &stream,
                                    beast::flat_buffer &buffer)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(self.mLimits.bodyBytes);
        parser.header_limit(self.mLimits.headerBytes);
        stream.expires_after(self.mLimits.idle);
        auto [error, size] = co_await http::async_read(stream, buffer, parser, sAsValue);
        stream.expires_never();
        if (error) {
            if (!isPeerGone(error)) {
                ServerExchange refusal(stream, {}, false);
                co_await refusal.respond(badInput(error));
            }
            co_return false;
        }
        const bool keepAlive = parser.get().keep_alive();
        ServerExchange exchange(stream, toRequest(parser.release()), keepAlive);
        co_await self.mHandler(exchange);
        co_return exchange.mayContinue();
    }

    asio::any_io_executor mExecutor;
    HttpHandler mHandler;
    HttpLimits mLimits;
    std::shared_ptr<Listener> mListener;
    bool mStopping = false;
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

void HttpServer::stopListening()
{
    mImpl->stop();
}

// ---- Client ----------------------------------------------------------------

class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl>
{
public:
    using Stream = std::unique_ptr<beast::tcp_stream>;

    explicit Impl(const asio::any_io_executor &executor)
        : mExecutor(executor)
    {
    }

    static awaitable<tl::expected<HttpResponse, HttpError>>
    run(std::shared_ptr<Impl> self, HttpCall call, HttpDataHandler onData)
    {
        const auto deadline = std::chrono::steady_clock::now() + call.timeout;
        auto connected = co_await self->connect(call.endpoint, deadline);
        if (!connected) {
            co_return tl::unexpected(connected.error());
        }
        Stream stream = std::move(*connected);
        auto result = co_await exchange(*stream, call, onData, deadline);
        if (result && result->second) {
            self->keep(call.endpoint, std::move(stream));
        }
        if (!result) {
            co_return tl::unexpected(result.error());
        }
        co_return std::move(result->first);
    }

private:
    using Exchanged = std::pair<HttpResponse, bool>; // the answer; may the connection be kept?

    awaitable<tl::expected<Stream, HttpError>>
    connect(const Tcp::endpoint &endpoint, std::chrono::steady_clock::time_point deadline)
    {
        if (Stream kept = takeKept(endpoint)) {
            co_return std::move(kept);
        }
        auto stream = std::make_unique<beast::tcp_stream>(mExecutor);
        stream->expires_at(deadline);
        auto [error] = co_await stream->async_connect(endpoint, sAsValue);
        if (error) {
            co_return tl::unexpected(HttpError{HttpFailure::NotConnected, error.message()});
        }
        boost::system::error_code ignored;
        stream->socket().set_option(Tcp::no_delay(true), ignored);
        co_return std::move(stream);
    }

    Stream takeKept(const Tcp::endpoint &endpoint)
    {
        std::deque<Stream> &idle = mIdle[endpoint];
        while (!idle.empty()) {
            Stream stream = std::move(idle.back());
            idle.pop_back();
            if (isStillOpen(*stream)) {
                return stream;
            }
        }
        return nullptr;
    }

    // A server may have closed a kept connection; using it would make a call
    // that never ran look as if it might have.
    static bool isStillOpen(beast::tcp_stream &stream)
    {
        char probe = 0;
        boost::system::error_code error;
        stream.socket().non_blocking(true, error);
        stream.socket().receive(asio::buffer(&probe, 1), Tcp::socket::message_peek, error);
        return error == asio::error::would_block || error == asio::error::try_again;
    }

    void keep(const Tcp::endpoint &endpoint, Stream stream)
    {
        std::deque<Stream> &idle = mIdle[endpoint];
        stream->expires_never();
        if (idle.size() < sMostIdlePerServer) {
            idle.push_back(std::move(stream));
        }
    }

    static HttpError failure(const beast::error_code &error)
    {
        const bool late = error == beast::error::timeout;
        return {late ? HttpFailure::TimedOut : HttpFailure::Cut, error.message()};
    }

    static awaitable<tl::expected<Exchanged, HttpError>>
    exchange(beast::tcp_stream &stream, HttpCall &call, const HttpDataHandler &onData,
             std::chrono::steady_clock::time_point deadline)
    {
        http::request<http::string_body> message(http::string_to_verb(call.method), call.target,
                                                 11);
        message.set(http::field::host, endpointText(call.endpoint));
        fillHeaders(message, call.headers);
        message.body() = std::move(call.body);
        message.prepare_payload();
        stream.expires_at(deadline);
        auto [writeError, sent] = co_await http::async_write(stream, message, sAsValue);
        if (writeError) {
            co_return tl::unexpected(failure(writeError));
        }
        co_return co_await readAnswer(stream, onData);
    }

    static awaitable<tl::expected<Exchanged, HttpError>> readAnswer(beast::tcp_stream &stream,
                                                                    const HttpDataHandler &onData)
    {
        beast::flat_buffer buffer;
        http::response_parser<http::buffer_body> parser;
        parser.body_limit(boost::none);
        auto [headError, headSize]
            = co_await http::async_read_header(stream, buffer, parser, sAsValue);
        if (headError) {
            co_return tl::unexpected(failure(headError));
        }
        HttpResponse response;
        response.status = static_cast<int>(parser.get().result_int());
        response.headers = copyHeaders(parser.get());
        std::string piece(sReadPieceBytes, '\0');
        while (!parser.is_done()) {
            parser.get().body().data = piece.data();
            parser.get().body().size = piece.size();
            auto [error, size] = co_await http::async_read_some(stream, buffer, parser, sAsValue);
            if (error && error != http::error::need_buffer) {
                co_return tl::unexpected(failure(error));
            }
            const std::size_t filled = piece.size() - parser.get().body().size;
            const std::string_view data(piece.data(), filled);
            if (!onData) {
                response.body += data;
            } else if (!data.empty() && !co_await onData(response, data)) {
                co_return tl::unexpected(HttpError{HttpFailure::Aborted, "given up"});
            }
        }
        const bool reusable = parser.get().keep_alive() && buffer.size() == 0;
        co_return Exchanged(std::move(response), reusable);
    }

    asio::any_io_executor mExecutor;
    std::map<Tcp::endpoint, std::deque<Stream>> mIdle;
};

HttpClient::HttpClient(const asio::any_io_executor &executor)
    : mImpl(std::make_shared<Impl>(executor))
{
}

HttpClient::~HttpClient() = default;

awaitable<tl::expected<HttpResponse, HttpError>> HttpClient::send(HttpCall call)
{
    return Impl::run(mImpl, std::move(call), {});
}

awaitable<tl::expected<HttpResponse, HttpError>> HttpClient::stream(HttpCall call,
                                                                    HttpDataHandler onData)
{
    return Impl::run(mImpl, std::move(call), std::move(onData));
}

} // namespace Loom
