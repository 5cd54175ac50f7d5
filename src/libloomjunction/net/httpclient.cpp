/*
 * httpclient.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "http.h"

#include "answerhead.h"
#include "httpfields.h"
#include "jsonlog.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Loom {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t sReadPieceBytes = std::size_t{64} * 1024;
// The parser needs a chunk's line, or all trailer fields, as a whole.
constexpr std::size_t sMaxBufferBytes = std::size_t{128} * 1024;
constexpr std::size_t sMostIdlePerServer = 256;
// An answer that drips ends after so many pieces' time beyond its own: whoever waits
// could learn the same elsewhere.
constexpr int sMostPieceTimes = 4;
// The parser refuses a larger head.
constexpr std::size_t sMaxHeadBytes = std::size_t{8} * 1024;
// Heads such as 100 that may precede the one that counts.
constexpr int sMaxInterimHeads = 8;

} // namespace

class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl>
{
public:
    using Stream = std::unique_ptr<beast::tcp_stream>;
    using Parser = http::response_parser<http::buffer_body>;

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
        auto result = co_await self->exchangeCancellable(*stream, call, onData, deadline);
        if (result && result->second && call.keepsConnection) {
            self->keep(call.endpoint, std::move(stream));
        }
        if (!result) {
            co_return tl::unexpected(result.error());
        }
        co_return std::move(result->first);
    }

    void cancel()
    {
        for (beast::tcp_stream *stream : mUsed) {
            stream->close();
        }
    }

private:
    using Exchanged = std::pair<HttpResponse, bool>; // the answer; may the connection be kept?

    /** Lets cancel() reach a connection, until the end of its scope. */
    class Use
    {
    public:
        Use(Impl &owner, beast::tcp_stream &stream)
            : mOwner(owner)
            , mStream(stream)
        {
            mOwner.mUsed.insert(&mStream);
        }
        ~Use() { mOwner.mUsed.erase(&mStream); }
        Use(const Use &) = delete;
        Use &operator=(const Use &) = delete;

    private:
        Impl &mOwner;
        beast::tcp_stream &mStream;
    };

    awaitable<tl::expected<Exchanged, HttpError>>
    exchangeCancellable(beast::tcp_stream &stream, HttpCall &call, const HttpDataHandler &onData,
                        std::chrono::steady_clock::time_point deadline)
    {
        const Use use(*this, stream);
        co_return co_await exchange(stream, call, onData, deadline);
    }

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

    static HttpError tooLarge(const HttpCall &call)
    {
        logLine(LogLevel::Warning, "answer-too-large",
                {{"server", endpointText(call.endpoint)},
                 {"target", call.target},
                 {"maxBytes", call.maxBodyBytes}});
        return {HttpFailure::TooLarge,
                "the answer is larger than " + std::to_string(call.maxBodyBytes) + " bytes"};
    }

    static awaitable<tl::expected<Exchanged, HttpError>>
    exchange(beast::tcp_stream &stream, HttpCall &call, const HttpDataHandler &onData,
             std::chrono::steady_clock::time_point deadline)
    {
        http::request<http::string_body> message(http::string_to_verb(call.method), call.target,
                                                 11);
        fillHeaders(message, call.headers);
        if (message.find(http::field::host) == message.end()) {
            message.set(http::field::host, endpointText(call.endpoint));
        }
        message.body() = std::move(call.body);
        message.keep_alive(call.keepsConnection);
        message.prepare_payload();
        stream.expires_at(deadline);
        auto [writeError, sent] = co_await http::async_write(stream, message, sAsValue);
        if (writeError) {
            co_return tl::unexpected(failure(writeError));
        }
        co_return co_await readAnswer(stream, call, onData, deadline);
    }

    static HttpError malformed(AnswerFault fault)
    {
        return {HttpFailure::Malformed,
                "the answer is malformed: " + std::string(answerFaultName(fault))};
    }

    // Reads until a head is in the buffer, where the parser finds it. A head that is too long is
    // left to the parser.
    static awaitable<tl::expected<bool, beast::error_code>>
    hasFoldedHead(beast::tcp_stream &stream, beast::flat_buffer &buffer)
    {
        while (true) {
            const auto data = buffer.cdata();
            const std::string_view bytes(static_cast<const char *>(data.data()), data.size());
            if (const auto length = headLength(bytes)) {
                co_return hasFoldedLine(bytes.substr(0, *length));
            }
            if (bytes.size() >= sMaxHeadBytes) {
                co_return false;
            }
            auto [error, size]
                = co_await stream.async_read_some(buffer.prepare(sMaxHeadBytes), sAsValue);
            buffer.commit(size);
            if (error) {
                co_return tl::unexpected(error);
            }
        }
    }

    // Reads heads until one is not interim; @p parser is left behind that one.
    static awaitable<tl::expected<HttpResponse, HttpError>>
    readHead(beast::tcp_stream &stream, beast::flat_buffer &buffer, std::optional<Parser> &parser)
    {
        HttpResponse head;
        for (int interimCount = 0; interimCount <= sMaxInterimHeads; ++interimCount) {
            parser.emplace();
            parser->body_limit(boost::none);
            const auto isFolded = co_await hasFoldedHead(stream, buffer);
            if (!isFolded) {
                co_return tl::unexpected(failure(isFolded.error()));
            }
            auto [error, size]
                = co_await http::async_read_header(stream, buffer, *parser, sAsValue);
            if (error) {
                co_return tl::unexpected(failure(error));
            }
            if (*isFolded) {
                co_return tl::unexpected(malformed(AnswerFault::FoldedLine));
            }
            head.status = static_cast<int>(parser->get().result_int());
            head.headers = copyHeaders(parser->get());
            if (const auto fault = findAnswerFault(head.status, head.headers)) {
                co_return tl::unexpected(malformed(*fault));
            }
            if (!isInterimStatus(head.status)) {
                co_return std::move(head);
            }
        }
        co_return tl::unexpected(HttpError{HttpFailure::Malformed, "too many interim answers"});
    }

    static awaitable<tl::expected<Exchanged, HttpError>>
    readAnswer(beast::tcp_stream &stream, const HttpCall &call, const HttpDataHandler &onData,
               std::chrono::steady_clock::time_point deadline)
    {
        beast::flat_buffer buffer(sMaxBufferBytes);
        std::optional<Parser> heldParser;
        auto head = co_await readHead(stream, buffer, heldParser);
        if (!head) {
            co_return tl::unexpected(head.error());
        }
        HttpResponse response = std::move(*head);
        Parser &parser = *heldParser;
        if (!onData && parser.content_length().value_or(0) > call.maxBodyBytes) {
            co_return tl::unexpected(tooLarge(call));
        }
        std::string piece(sReadPieceBytes, '\0');
        const auto last = deadline + call.pieceTimeout * sMostPieceTimes;
        while (!parser.is_done()) {
            const auto next = std::chrono::steady_clock::now() + call.pieceTimeout;
            stream.expires_at(std::clamp(next, deadline, last));
            parser.get().body().data = piece.data();
            parser.get().body().size = piece.size();
            auto [error, size] = co_await http::async_read_some(stream, buffer, parser, sAsValue);
            if (error && error != http::error::need_buffer) {
                co_return tl::unexpected(failure(error));
            }
            const std::size_t filled = piece.size() - parser.get().body().size;
            const std::string_view data(piece.data(), filled);
            if (!onData && response.body.size() + filled > call.maxBodyBytes) {
                co_return tl::unexpected(tooLarge(call));
            }
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
    std::set<beast::tcp_stream *> mUsed; ///< connections with a call under way
};

HttpClient::HttpClient(const asio::any_io_executor &executor)
    : mImpl(std::make_shared<Impl>(executor))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::cancel()
{
    mImpl->cancel();
}

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
