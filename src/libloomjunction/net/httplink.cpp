/*
 * httplink.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "httplink.h"

#include "answerhead.h"
#include "httpfields.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

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
// Heads such as 100 that may precede the one that counts.
constexpr int sMaxInterimHeads = 8;
// Interval at which the connection is asked whether the other side has received the request.
constexpr std::chrono::milliseconds sMinReceiptInterval{1};
constexpr std::chrono::milliseconds sMaxReceiptInterval{20};
constexpr std::size_t sMaxSurplusBytes = std::size_t{64} * 1024;

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
    Impl(Tcp::socket socket, AnswerLimits limits)
        : mStream(std::move(socket))
        , mLimits(limits)
        , mWriteEnded(mStream.get_executor())
    {
        boost::system::error_code ignored;
        mStream.socket().set_option(Tcp::no_delay(true), ignored);
        mStream.socket().non_blocking(true, ignored);
    }

    awaitable<tl::expected<LinkHead, LinkError>> exchange(LinkRequest request, Deadline deadline)
    {
        mIsHead = request.method == sHeadMethod;
        ++mSentCount;
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
            mWriting = true;
            if (!request.bodyOwner) {
                auto copy = std::make_shared<const std::string>(request.body);
                request.body = *copy;
                request.bodyOwner = std::move(copy);
            }
            asio::co_spawn(mStream.get_executor(),
                           writeAll(shared_from_this(), std::move(head), request.body,
                                    std::move(request.bodyOwner)),
                           asio::detached);
        }
        co_return co_await readHead(deadline);
    }

    // Heads such as 100 are followed by the one that counts.
    awaitable<tl::expected<LinkHead, LinkError>> readHead(Deadline deadline)
    {
        noteProgress();
        for (int interimCount = 0; interimCount <= sMaxInterimHeads; ++interimCount) {
            const auto error = co_await parseHead(deadline);
            if (error) {
                co_return tl::unexpected(classify(error));
            }
            LinkHead head = takeHead();
            if (mIsHeadFolded || findAnswerFault(head.status, head.headers)) {
                co_return tl::unexpected(LinkError::Malformed);
            }
            if (!isInterimStatus(head.status)) {
                noteProgress();
                noteKeepAlive(head);
                co_return head;
            }
            mStalledSince.reset();
        }
        mEndlessPart = EndlessPart::InterimHeads;
        co_return tl::unexpected(LinkError::Endless);
    }

    awaitable<tl::expected<std::string_view, LinkError>> readBody(Deadline deadline)
    {
        mPiece.resize(sBodyPieceBytes);
        while (!mParser->is_done()) {
            mParser->get().body().data = mPiece.data();
            mParser->get().body().size = mPiece.size();
            mParser->get().body().more = true;
            const auto error = co_await parseNext(deadline, EndlessPart::Framing);
            if (error && error != http::error::need_buffer) {
                co_return tl::unexpected(classify(error));
            }
            const std::size_t filled = mPiece.size() - mParser->get().body().size;
            if (filled > 0) {
                noteProgress();
                mBodyBytesRead += filled;
                co_return std::string_view(mPiece.data(), filled);
            }
        }
        co_return std::string_view();
    }

    awaitable<tl::expected<void, LinkError>> skipBody(std::size_t most, EndlessPart part,
                                                      Deadline deadline)
    {
        std::size_t skipped = 0;
        while (true) {
            const auto piece = co_await readBody(deadline);
            if (!piece) {
                co_return tl::unexpected(piece.error());
            }
            if (piece->empty()) {
                co_return tl::expected<void, LinkError>();
            }
            skipped += piece->size();
            if (skipped > most) {
                mEndlessPart = part;
                co_return tl::unexpected(LinkError::Endless);
            }
        }
    }

    awaitable<tl::expected<std::string, LinkError>> readWhole(std::size_t most, Deadline deadline,
                                                              KeepHandler mayKeep)
    {
        std::string whole;
        const auto length = bodyLength();
        while (true) {
            const auto piece = co_await readBody(deadline);
            if (!piece) {
                co_return tl::unexpected(piece.error());
            }
            if (piece->empty()) {
                co_return whole;
            }
            const std::size_t size = whole.size() + piece->size();
            std::size_t kept = whole.capacity();
            if (size > kept) {
                kept = std::max(size, std::min<std::size_t>(2 * kept, length.value_or(2 * kept)));
            }
            if (length.value_or(size) > most || size > most || (mayKeep && !mayKeep(kept))) {
                mEndlessPart = EndlessPart::Body;
                co_return tl::unexpected(LinkError::Endless);
            }
            whole.reserve(kept);
            whole += *piece;
        }
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

    std::size_t earlierRequestCount() const { return mSentCount > 0 ? mSentCount - 1 : 0; }
    bool isFramed() const { return mFramed; }
    EndlessPart endlessPart() const { return mEndlessPart; }
    std::size_t bodyBytesRead() const { return mBodyBytesRead; }

    std::optional<std::uint64_t> bodyLength() const
    {
        const auto length = mParser ? mParser->content_length() : boost::none;
        return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
    }

    bool isReusable() const
    {
        return !mCancelled && mEndlessPart == EndlessPart::Nothing && !mWriteFailed && !mWriting
            && mParser && mParser->is_done() && mFramed && mParser->get().keep_alive()
            && mBuffer.size() == 0;
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
        return mSentCount > 0 && (mWriting || !isAnswered);
    }

    awaitable<beast::error_code> parseHead(Deadline deadline)
    {
        mParser.emplace();
        mParser->body_limit(boost::none);
        mParser->header_limit(static_cast<std::uint32_t>(mLimits.headBytes));
        mParser->skip(mIsHead);
        mFramed = false;
        mIsHeadFolded = false;
        mBodyBytesRead = 0;
        while (!mParser->is_header_done()) {
            const auto error = co_await parseNext(deadline, EndlessPart::Head);
            if (error) {
                co_return error;
            }
        }
        co_return beast::error_code();
    }

    // The parser takes a head as a whole, so that it is at the beginning of the buffer until then.
    bool isNextHeadFolded() const
    {
        if (mParser->is_header_done()) {
            return false;
        }
        const auto data = mBuffer.cdata();
        const std::string_view bytes(static_cast<const char *>(data.data()), data.size());
        const auto length = headLength(bytes);
        return length && hasFoldedLine(bytes.substr(0, *length));
    }

    LinkHead takeHead()
    {
        LinkHead head;
        head.status = static_cast<int>(mParser->get().result_int());
        head.headers = copyHeaders(mParser->get());
        mFramed = !mParser->need_eof();
        return head;
    }

    // Lets the parser take its next step, and reads until it can. Bytes that arrive without
    // completing a step count as stalled until noteProgress(). The time is only looked at when
    // bytes arrive: silence is not endless, and after a standstill of this process what completes
    // the step has arrived as well.
    awaitable<beast::error_code> parseNext(Deadline deadline, EndlessPart part)
    {
        while (true) {
            beast::error_code error;
            if (mBuffer.size() > 0) {
                mIsHeadFolded = mIsHeadFolded || isNextHeadFolded();
                mBuffer.consume(mParser->put(mBuffer.data(), error));
                if (error == http::error::header_limit) {
                    mEndlessPart = EndlessPart::Head;
                }
                if (error != http::error::need_more) {
                    co_return error;
                }
            }
            if (isStalled()) {
                mEndlessPart = part;
                co_return http::error::header_limit;
            }
            mStream.expires_at(deadline);
            auto [readError, size]
                = co_await mStream.async_read_some(mBuffer.prepare(sReadBytes), sAsValue);
            mBuffer.commit(size);
            noteArrival(size);
            const bool isDelimitedByEnd = mParser->is_header_done() && mParser->need_eof();
            if (readError == asio::error::eof && isDelimitedByEnd) {
                const bool isReceived = co_await isRequestReceived(deadline);
                if (!isReceived) {
                    co_return http::error::partial_message;
                }
            }
            if (readError == asio::error::eof && mParser->got_some()) {
                error = {};
                mParser->put_eof(error);
                co_return error;
            }
            if (readError) {
                const bool isEnd = readError == asio::error::eof;
                co_return isEnd ? beast::error_code(http::error::end_of_stream) : readError;
            }
        }
    }

    // An error of a connection is reported once. If the write of the request receives a reset, the
    // read sees an ordinary end. So an end shows nothing about the answer before all of the request
    // has been written and acknowledged.
    awaitable<bool> isRequestReceived(Deadline deadline)
    {
        while (mWriting && std::chrono::steady_clock::now() < deadline) {
            co_await mWriteEnded.waitUntil(deadline);
        }
        auto interval = sMinReceiptInterval;
        while (!mWriting && !mWriteFailed && !mCancelled && unacknowledgedBytes() > 0
               && std::chrono::steady_clock::now() + interval < deadline) {
            co_await sleepFor(interval);
            interval = std::min(2 * interval, sMaxReceiptInterval);
        }
        co_return !mWriting && !mWriteFailed && !mCancelled && unacknowledgedBytes() == 0
            && !hasSocketFailed();
    }

    // Zero where the system cannot tell.
    int unacknowledgedBytes()
    {
        int bytes = 0;
        return ::ioctl(mStream.socket().native_handle(), SIOCOUTQ, &bytes) == 0 ? bytes : 0;
    }

    bool hasSocketFailed()
    {
        int error = 0;
        socklen_t size = sizeof(error);
        const int result
            = ::getsockopt(mStream.socket().native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
        return result != 0 || error != 0;
    }

    void noteArrival(std::size_t size)
    {
        mStalledBytes += size;
        if (!mStalledSince) {
            mStalledSince = std::chrono::steady_clock::now();
        }
    }

    void noteProgress()
    {
        mStalledBytes = 0;
        mStalledSince.reset();
    }

    bool isStalled() const
    {
        const bool isTooLate = mStalledSince
            && std::chrono::steady_clock::now() - *mStalledSince > mLimits.unfinished;
        return isTooLate || mStalledBytes > mLimits.headBytes;
    }

    static awaitable<void> writeAll(std::shared_ptr<Impl> self, std::string head,
                                    std::string_view body,
                                    [[maybe_unused]] std::shared_ptr<const void> bodyOwner)
    {
        const std::array<asio::const_buffer, 2> parts{asio::buffer(head), asio::buffer(body)};
        auto [error, sent] = co_await asio::async_write(self->mStream, parts, sAsValue);
        self->mWriteFailed = bool(error);
        self->mWriting = false;
        self->mWriteEnded.notify();
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
        if (mEndlessPart != EndlessPart::Nothing) {
            return LinkError::Endless;
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
    const AnswerLimits mLimits;
    Signal mWriteEnded;
    beast::flat_buffer mBuffer;
    std::optional<http::response_parser<http::buffer_body>> mParser;
    std::string mPiece;
    BootClock::time_point mUsableUntil;
    bool mIsHead = false;
    std::size_t mSentCount = 0; ///< requests on this connection
    bool mFramed = false;
    bool mIsHeadFolded = false;
    bool mWriting = false;
    bool mWriteFailed = false;
    bool mCancelled = false;
    std::size_t mBodyBytesRead = 0; ///< of the answer whose head was read last
    std::size_t mStalledBytes = 0; ///< read since the last progress
    std::optional<SteadyTime> mStalledSince; ///< when the first of them were read
    EndlessPart mEndlessPart = EndlessPart::Nothing;
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
HttpLink::connect(Tcp::endpoint endpoint, std::chrono::milliseconds timeout, AnswerLimits limits)
{
    auto socket = co_await connectWithin(endpoint, timeout);
    if (!socket) {
        co_return tl::unexpected(LinkError::NotConnected);
    }
    auto impl = std::make_shared<Impl>(std::move(*socket), limits);
    co_return std::unique_ptr<HttpLink>(new HttpLink(std::move(impl)));
}

awaitable<tl::expected<LinkHead, LinkError>> HttpLink::exchange(LinkRequest request,
                                                                Deadline deadline)
{
    co_return co_await mImpl->exchange(request, deadline);
}

awaitable<tl::expected<LinkHead, LinkError>> HttpLink::nextHead(Deadline deadline)
{
    const auto skipped
        = co_await mImpl->skipBody(sMaxSurplusBytes, EndlessPart::SurplusBody, deadline);
    if (!skipped) {
        co_return tl::unexpected(skipped.error());
    }
    co_return co_await mImpl->readHead(deadline);
}

awaitable<tl::expected<std::string_view, LinkError>> HttpLink::readBody(Deadline deadline)
{
    co_return co_await mImpl->readBody(deadline);
}

awaitable<tl::expected<std::string, LinkError>>
HttpLink::readWhole(std::size_t most, Deadline deadline, KeepHandler mayKeep)
{
    co_return co_await mImpl->readWhole(most, deadline, std::move(mayKeep));
}

awaitable<tl::expected<void, LinkError>> HttpLink::skipBody(std::size_t most, Deadline deadline)
{
    co_return co_await mImpl->skipBody(most, EndlessPart::RefusalBody, deadline);
}

void HttpLink::cancel()
{
    mImpl->cancel();
}

std::size_t HttpLink::earlierRequestCount() const
{
    return mImpl->earlierRequestCount();
}

bool HttpLink::isFramed() const
{
    return mImpl->isFramed();
}

std::optional<std::uint64_t> HttpLink::bodyLength() const
{
    return mImpl->bodyLength();
}

std::size_t HttpLink::bodyBytesRead() const
{
    return mImpl->bodyBytesRead();
}

EndlessPart HttpLink::endlessPart() const
{
    return mImpl->endlessPart();
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
