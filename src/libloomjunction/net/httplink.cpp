/*
 * httplink.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "httplink.h"

#include "httpfields.h"

#include <array>
#include <charconv>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Loom {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::size_t sBodyPieceBytes = std::size_t{16} * 1024;
constexpr std::size_t sReadBytes = std::size_t{16} * 1024;
// Smaller bodies leave in one call; for larger ones the answer may come first.
constexpr std::size_t sWriteAtOnceBytes = std::size_t{16} * 1024;
// The other side counts its idle time from an earlier moment than we do.
constexpr std::chrono::milliseconds sIdleMargin{700};
constexpr std::chrono::seconds sIdleUnknown{4};
constexpr std::string_view sHeadMethod = "HEAD";

// The seconds in "timeout=5, max=100"; nothing where there are none.
std::optional<std::chrono::seconds> keepAliveTime(std::string_view text)
{
    constexpr std::string_view name = "timeout=";
    const std::size_t begin = text.find(name);
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    text.remove_prefix(begin + name.size());
    int seconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (error != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

void appendHeader(std::string &text, std::string_view name, std::string_view value)
{
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
}

// The body always goes out with its length, however it came in.
std::string headText(const LinkRequest &request)
{
    std::string text;
    text.reserve(512);
    text += request.method;
    text += ' ';
    text += request.target;
    text += " HTTP/1.1\r\n";
    for (const HttpHeader &header : request.headers) {
        appendHeader(text, header.name, header.value);
    }
    const bool mayLackLength = request.method == "GET" || request.method == sHeadMethod;
    if (!request.body.empty() || !mayLackLength) {
        appendHeader(text, "Content-Length", std::to_string(request.body.size()));
    }
    text += "\r\n";
    return text;
}

} // namespace

std::string_view LinkHead::header(std::string_view name) const
{
    for (const HttpHeader &header : headers) {
        if (beast::iequals(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

class HttpLink::Impl : public std::enable_shared_from_this<HttpLink::Impl>
{
public:
    explicit Impl(Tcp::socket socket)
        : mStream(std::move(socket))
    {
        boost::system::error_code ignored;
        mStream.socket().set_option(Tcp::no_delay(true), ignored);
        mStream.socket().non_blocking(true, ignored);
    }

    awaitable<tl::expected<LinkHead, LinkError>> exchange(LinkRequest request, Deadline deadline)
    {
        mIsHead = request.method == sHeadMethod;
        mHasSent = true;
        mParser.reset(); // the answer before counts no more
        std::string head = headText(request);
        mStream.expires_at(deadline);
        if (request.body.size() <= sWriteAtOnceBytes) {
            const std::array<asio::const_buffer, 2> parts{asio::buffer(head),
                                                          asio::buffer(request.body)};
            auto [error, sent] = co_await asio::async_write(mStream, parts, sAsValue);
            // An answer may be there although the other side stopped reading.
            mWriteFailed = bool(error);
        } else {
            head += request.body;
            mWriting = true;
            asio::co_spawn(mStream.get_executor(), writeAll(shared_from_this(), std::move(head)),
                           asio::detached);
        }
        co_return co_await readHead(deadline);
    }

    awaitable<tl::expected<LinkHead, LinkError>> readHead(Deadline deadline)
    {
        mParser.emplace();
        mParser->body_limit(boost::none);
        mParser->skip(mIsHead);
        mFramed = false;
        mStream.expires_at(deadline);
        auto [error, size] = co_await http::async_read_header(mStream, mBuffer, *mParser, sAsValue);
        if (error) {
            co_return tl::unexpected(classify(error));
        }
        // Answers such as 100 are followed by the one that counts.
        if (mParser->get().result_int() / 100 == 1) {
            co_return co_await readHead(deadline);
        }
        LinkHead head;
        head.status = static_cast<int>(mParser->get().result_int());
        head.headers = copyHeaders(mParser->get());
        mFramed = !mParser->need_eof();
        noteKeepAlive(head);
        co_return std::move(head);
    }

    awaitable<tl::expected<std::string_view, LinkError>> readBody(Deadline deadline)
    {
        mPiece.resize(sBodyPieceBytes);
        while (!mParser->is_done()) {
            mParser->get().body().data = mPiece.data();
            mParser->get().body().size = mPiece.size();
            mParser->get().body().more = true;
            mStream.expires_at(deadline);
            auto [error, size]
                = co_await http::async_read_some(mStream, mBuffer, *mParser, sAsValue);
            if (error && error != http::error::need_buffer) {
                co_return tl::unexpected(classify(error));
            }
            const std::size_t filled = mPiece.size() - mParser->get().body().size;
            if (filled > 0) {
                co_return std::string_view(mPiece.data(), filled);
            }
        }
        co_return std::string_view();
    }

    // Closed in the ordinary way, what has not left this box yet is still delivered,
    // as over a full link, and the request runs for nobody.
    void cancel()
    {
        mCancelled = true;
        if (isUnderWay()) {
            boost::system::error_code ignored;
            mStream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        }
        mStream.close();
    }

    bool isFramed() const { return mFramed; }

    bool isReusable() const
    {
        return !mCancelled && !mWriteFailed && !mWriting && mParser && mParser->is_done() && mFramed
            && mParser->get().keep_alive() && mBuffer.size() == 0;
    }

    bool isQuiet()
    {
        char probe = 0;
        boost::system::error_code error;
        mStream.socket().receive(asio::buffer(&probe, 1), Tcp::socket::message_peek, error);
        return error == asio::error::would_block || error == asio::error::try_again;
    }

    BootClock::time_point usableUntil() const { return mUsableUntil; }

private:
    /** A request was sent, and its answer has not ended or its body is not out. */
    bool isUnderWay() const
    {
        const bool isAnswered = mParser && mParser->is_done();
        return mHasSent && (mWriting || !isAnswered);
    }

    static awaitable<void> writeAll(std::shared_ptr<Impl> self, std::string bytes)
    {
        auto [error, sent]
            = co_await asio::async_write(self->mStream, asio::buffer(bytes), sAsValue);
        self->mWriteFailed = bool(error);
        self->mWriting = false;
    }

    void noteKeepAlive(const LinkHead &head)
    {
        const auto told = keepAliveTime(head.header("Keep-Alive"));
        const std::chrono::milliseconds rest
            = told ? *told - sIdleMargin : std::chrono::milliseconds(sIdleUnknown);
        mUsableUntil = BootClock::now() + rest;
    }

    LinkError classify(const beast::error_code &error) const
    {
        if (mCancelled || error == asio::error::operation_aborted) {
            return LinkError::Cancelled;
        }
        if (error == beast::error::timeout) {
            return LinkError::TimedOut;
        }
        const bool closed = error == http::error::end_of_stream
            || error == http::error::partial_message || error == asio::error::eof
            || error.category() == asio::error::get_system_category();
        return closed ? LinkError::Closed : LinkError::Malformed;
    }

    beast::tcp_stream mStream;
    beast::flat_buffer mBuffer{sReadBytes * 8};
    std::optional<http::response_parser<http::buffer_body>> mParser;
    std::string mPiece;
    BootClock::time_point mUsableUntil;
    bool mIsHead = false;
    bool mHasSent = false; ///< a request, on this connection
    bool mFramed = false;
    bool mWriting = false;
    bool mWriteFailed = false;
    bool mCancelled = false;
};

HttpLink::HttpLink(std::shared_ptr<Impl> impl)
    : mImpl(std::move(impl))
{
}

HttpLink::~HttpLink()
{
    mImpl->cancel();
}

awaitable<tl::expected<std::unique_ptr<HttpLink>, LinkError>>
HttpLink::connect(Tcp::endpoint endpoint, std::chrono::milliseconds timeout)
{
    auto socket = co_await connectWithin(endpoint, timeout);
    if (!socket) {
        co_return tl::unexpected(LinkError::NotConnected);
    }
    auto impl = std::make_shared<Impl>(std::move(*socket));
    co_return std::unique_ptr<HttpLink>(new HttpLink(std::move(impl)));
}

awaitable<tl::expected<LinkHead, LinkError>> HttpLink::exchange(LinkRequest request,
                                                                Deadline deadline)
{
    co_return co_await mImpl->exchange(request, deadline);
}

awaitable<tl::expected<LinkHead, LinkError>> HttpLink::nextHead(Deadline deadline)
{
    while (true) {
        const auto piece = co_await mImpl->readBody(deadline);
        if (!piece) {
            co_return tl::unexpected(piece.error());
        }
        if (piece->empty()) {
            break;
        }
    }
    co_return co_await mImpl->readHead(deadline);
}

awaitable<tl::expected<std::string_view, LinkError>> HttpLink::readBody(Deadline deadline)
{
    co_return co_await mImpl->readBody(deadline);
}

awaitable<tl::expected<std::string, LinkError>> HttpLink::readWhole(std::size_t most,
                                                                    Deadline deadline)
{
    std::string whole;
    while (true) {
        const auto piece = co_await mImpl->readBody(deadline);
        if (!piece) {
            co_return tl::unexpected(piece.error());
        }
        if (piece->empty()) {
            co_return whole;
        }
        whole += *piece;
        if (whole.size() > most) {
            co_return tl::unexpected(LinkError::Malformed);
        }
    }
}

void HttpLink::cancel()
{
    mImpl->cancel();
}

bool HttpLink::isFramed() const
{
    return mImpl->isFramed();
}

bool HttpLink::isReusable() const
{
    return mImpl->isReusable();
}

bool HttpLink::isQuiet()
{
    return mImpl->isQuiet();
}

BootClock::time_point HttpLink::usableUntil() const
{
    return mImpl->usableUntil();
}

} // namespace Loom
