/*
 * peer.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "peer.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <nghttp2/nghttp2.h>

namespace Loom {

namespace {

constexpr std::size_t sLengthBytes = 4;
constexpr std::size_t sReadBytes = std::size_t{64} * 1024;
constexpr std::size_t sWriteBytes = std::size_t{128} * 1024;
constexpr std::size_t sHighWaterBytes = std::size_t{256} * 1024;
// Sent data is cut off the queue once this much of it is behind.
constexpr std::size_t sTrimBytes = std::size_t{64} * 1024;

std::uint64_t sTotalBytes = 0;

nghttp2_nv header(std::string_view name, std::string_view value)
{
    // nghttp2 copies both; its interface lacks the const.
    return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data())),
            reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data())), name.size(),
            value.size(), NGHTTP2_NV_FLAG_NONE};
}

void appendLength(std::string &out, std::uint32_t length)
{
    for (int shift = 24; shift >= 0; shift -= 8) {
        out.push_back(static_cast<char>((length >> static_cast<unsigned>(shift)) & 0xFFU));
    }
}

std::uint32_t readLength(std::string_view bytes)
{
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < sLengthBytes; ++i) {
        length = (length << 8U) | static_cast<unsigned char>(bytes[i]);
    }
    return length;
}

} // namespace

// ---- PeerStream ------------------------------------------------------------

PeerStream::PeerStream(std::shared_ptr<PeerConnection> connection, std::string path)
    : mConnection(std::move(connection))
    , mPath(std::move(path))
    , mReadable(mConnection->executor())
    , mWritable(mConnection->executor())
{
}

void PeerStream::send(const google::protobuf::MessageLite &message)
{
    if (mClosed || mFinished) {
        return;
    }
    const std::size_t size = message.ByteSizeLong();
    appendLength(mOut, static_cast<std::uint32_t>(size));
    message.AppendToString(&mOut);
    mConnection->resume(mId);
}

awaitable<bool> PeerStream::drained()
{
    while (!mClosed && mOut.size() - mOutBegin > sHighWaterBytes) {
        co_await mWritable.waitFor(std::chrono::hours(1));
    }
    co_return !mClosed;
}

void PeerStream::finish()
{
    if (mClosed || mFinished) {
        return;
    }
    mFinished = true;
    mConnection->resume(mId);
}

void PeerStream::reset()
{
    if (mClosed) {
        return;
    }
    const std::shared_ptr<PeerConnection> connection = mConnection;
    connection->resetStream(mId);
    close(PeerError::Reset);
}

awaitable<tl::expected<std::optional<std::string>, PeerError>>
PeerStream::receive(Deadline deadline)
{
    const PeerStreamPtr self = shared_from_this();
    while (mIn.empty()) {
        if (mEnded) {
            co_return std::optional<std::string>();
        }
        if (mClosed) {
            co_return tl::unexpected(mError);
        }
        const bool inTime = co_await mReadable.waitUntil(deadline);
        if (!inTime && mIn.empty() && !mEnded && !mClosed) {
            co_return tl::unexpected(PeerError::TimedOut);
        }
    }
    std::string message = std::move(mIn.front());
    mIn.pop_front();
    if (mIn.empty() && mUnconsumed > 0) {
        mConnection->consume(mId, std::exchange(mUnconsumed, 0));
    }
    co_return std::optional<std::string>(std::move(message));
}

bool PeerStream::takeData(std::string_view data)
{
    mPartial += data;
    mUnconsumed += data.size();
    std::size_t at = 0;
    while (mPartial.size() - at >= sLengthBytes) {
        const std::uint32_t length = readLength(std::string_view(mPartial).substr(at));
        if (length > mConnection->mLimits.messageBytes) {
            return false;
        }
        if (mPartial.size() - at - sLengthBytes < length) {
            break;
        }
        mIn.push_back(mPartial.substr(at + sLengthBytes, length));
        at += sLengthBytes + length;
    }
    mPartial.erase(0, at);
    if (!mIn.empty()) {
        mReadable.notify();
    } else {
        // A message larger than the window must be able to arrive.
        mConnection->consume(mId, std::exchange(mUnconsumed, 0));
    }
    return true;
}

std::ptrdiff_t PeerStream::giveData(char *buffer, std::size_t size, bool &ended)
{
    const std::size_t waiting = mOut.size() - mOutBegin;
    const std::size_t given = std::min(size, waiting);
    std::memcpy(buffer, mOut.data() + mOutBegin, given);
    mOutBegin += given;
    if (mOutBegin == mOut.size()) {
        mOut.clear();
        mOutBegin = 0;
    } else if (mOutBegin > sTrimBytes) {
        mOut.erase(0, mOutBegin);
        mOutBegin = 0;
    }
    mWritable.notify();
    ended = mFinished && mOut.empty();
    return static_cast<std::ptrdiff_t>(given);
}

void PeerStream::noteEnd()
{
    // A stream that ends inside a message was cut, whatever the frame says.
    if (mPartial.empty()) {
        mEnded = true;
    }
    mReadable.notify();
}

void PeerStream::close(PeerError error)
{
    if (mClosed) {
        return;
    }
    mClosed = true;
    mError = error;
    mOut.clear();
    mOutBegin = 0;
    mReadable.notify();
    mWritable.notify();
}

void PeerStream::closeMalformed()
{
    const std::shared_ptr<PeerConnection> connection = mConnection;
    connection->close();
}

// ---- nghttp2 callbacks -----------------------------------------------------

/** Bridges the C callbacks; each gets the connection as user data. */
struct PeerCallbacks
{
    static PeerConnection &connection(void *user) { return *static_cast<PeerConnection *>(user); }

    static int onHeader(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
                        std::size_t nameSize, const std::uint8_t *value, std::size_t valueSize,
                        std::uint8_t, void *user)
    {
        const std::string_view key(reinterpret_cast<const char *>(name), nameSize);
        if (connection(user).mIsServer && key == ":path") {
            connection(user).mPendingPaths[frame->hd.stream_id]
                = std::string(reinterpret_cast<const char *>(value), valueSize);
        }
        return 0;
    }

    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        PeerConnection &self = connection(user);
        const std::int32_t id = frame->hd.stream_id;
        const bool request
            = frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST;
        if (request && self.mIsServer) {
            auto pending = self.mPendingPaths.extract(id);
            self.incoming(id, pending.empty() ? std::string() : std::move(pending.mapped()));
        }
        const bool carries = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (carries && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
            if (const PeerStreamPtr stream = self.find(id)) {
                stream->noteEnd();
            }
        }
        return 0;
    }

    static int onData(nghttp2_session *, std::uint8_t, std::int32_t id, const std::uint8_t *data,
                      std::size_t size, void *user)
    {
        PeerConnection &self = connection(user);
        const PeerStreamPtr stream = self.find(id);
        if (!stream) {
            self.consume(id, size);
            return 0;
        }
        const bool fits = stream->takeData({reinterpret_cast<const char *>(data), size});
        return fits ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
    }

    static int onClose(nghttp2_session *, std::int32_t id, std::uint32_t errorCode, void *user)
    {
        PeerConnection &self = connection(user);
        const PeerStreamPtr stream = self.find(id);
        if (stream) {
            self.mStreams.erase(id);
            stream->close(errorCode == NGHTTP2_NO_ERROR ? PeerError::Cut : PeerError::Reset);
        }
        return 0;
    }

    static ssize_t onRead(nghttp2_session *, std::int32_t id, std::uint8_t *buffer,
                          std::size_t size, std::uint32_t *flags, nghttp2_data_source *, void *user)
    {
        const PeerStreamPtr stream = connection(user).find(id);
        if (!stream) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        bool ended = false;
        const auto given = stream->giveData(reinterpret_cast<char *>(buffer), size, ended);
        if (ended) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return given == 0 && !ended ? ssize_t{NGHTTP2_ERR_DEFERRED} : given;
    }
};

// ---- PeerConnection --------------------------------------------------------

PeerConnection::PeerConnection(Tcp::socket socket, bool isServer, PeerStreamHandler handler,
                               PeerLimits limits)
    : mSocket(std::move(socket))
    , mIsServer(isServer)
    , mHandler(std::move(handler))
    , mLimits(limits)
    , mReadBuffer(sReadBytes, '\0')
{
    boost::system::error_code ignored;
    mSocket.set_option(Tcp::no_delay(true), ignored);

    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, PeerCallbacks::onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, PeerCallbacks::onFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, PeerCallbacks::onData);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, PeerCallbacks::onClose);
    nghttp2_option *option = nullptr;
    nghttp2_option_new(&option);
    nghttp2_option_set_no_auto_window_update(option, 1);
    nghttp2_option_set_peer_max_concurrent_streams(option, limits.streams);
    if (isServer) {
        nghttp2_session_server_new2(&mSession, callbacks, this, option);
    } else {
        nghttp2_session_client_new2(&mSession, callbacks, this, option);
    }
    nghttp2_option_del(option);
    nghttp2_session_callbacks_del(callbacks);

    const std::array<nghttp2_settings_entry, 2> settings{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits.streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, limits.streamWindow},
    }};
    nghttp2_submit_settings(mSession, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(mSession, NGHTTP2_FLAG_NONE, 0, limits.connectionWindow);
}

PeerConnection::~PeerConnection()
{
    nghttp2_session_del(mSession);
}

awaitable<tl::expected<PeerConnectionPtr, PeerError>>
PeerConnection::connect(Tcp::endpoint endpoint, std::chrono::milliseconds timeout,
                        PeerLimits limits)
{
    const auto executor = co_await asio::this_coro::executor;
    auto socket = std::make_shared<Tcp::socket>(executor);
    asio::steady_timer timer(executor, timeout);
    bool late = false;
    timer.async_wait([socket, &late](const boost::system::error_code &error) {
        if (!error) {
            late = true;
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
    auto [error] = co_await socket->async_connect(endpoint, sAsValue);
    const bool expired = timer.cancel() == 0;
    if (error || expired) {
        co_return tl::unexpected(late || expired ? PeerError::TimedOut : PeerError::NotConnected);
    }
    PeerConnectionPtr connection(new PeerConnection(std::move(*socket), false, {}, limits));
    connection->begin();
    co_return connection;
}

PeerConnectionPtr PeerConnection::accept(Tcp::socket socket, PeerStreamHandler handler,
                                         PeerLimits limits)
{
    PeerConnectionPtr connection(
        new PeerConnection(std::move(socket), true, std::move(handler), limits));
    connection->begin();
    return connection;
}

void PeerConnection::begin()
{
    readMore();
    wantWrite();
}

void PeerConnection::readMore()
{
    mSocket.async_read_some(
        asio::buffer(mReadBuffer),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
            if (error || self->mClosed) {
                self->fail();
                return;
            }
            self->mBytesIn += size;
            sTotalBytes += size;
            const auto *data = reinterpret_cast<const std::uint8_t *>(self->mReadBuffer.data());
            if (nghttp2_session_mem_recv(self->mSession, data, size) < 0) {
                self->fail();
                return;
            }
            self->flush();
            if (!self->mClosed) {
                self->readMore();
            }
        });
}

void PeerConnection::wantWrite()
{
    // Messages queued in one turn of the event loop leave in one write.
    if (mFlushPosted || mWriting || mClosed) {
        return;
    }
    mFlushPosted = true;
    asio::post(mSocket.get_executor(), [self = shared_from_this()] {
        self->mFlushPosted = false;
        self->flush();
    });
}

void PeerConnection::flush()
{
    if (mWriting || mClosed) {
        return;
    }
    mWriteBuffer.clear();
    while (mWriteBuffer.size() < sWriteBytes) {
        const std::uint8_t *data = nullptr;
        const ssize_t size = nghttp2_session_mem_send(mSession, &data);
        if (size < 0) {
            fail();
            return;
        }
        if (size == 0) {
            break;
        }
        mWriteBuffer.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(size));
    }
    if (mWriteBuffer.empty()) {
        const bool done
            = nghttp2_session_want_read(mSession) == 0 && nghttp2_session_want_write(mSession) == 0;
        if (done) {
            fail();
        }
        return;
    }
    mWriting = true;
    mBytesOut += mWriteBuffer.size();
    sTotalBytes += mWriteBuffer.size();
    asio::async_write(
        mSocket, asio::buffer(mWriteBuffer),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            self->mWriting = false;
            if (error) {
                self->fail();
                return;
            }
            self->flush();
        });
}

void PeerConnection::fail()
{
    if (mClosed) {
        return;
    }
    mClosed = true;
    boost::system::error_code ignored;
    mSocket.close(ignored);
    const auto streams = std::exchange(mStreams, {});
    for (const auto &[id, stream] : streams) {
        stream->close(PeerError::Cut);
    }
    mHandler = nullptr;
}

void PeerConnection::close()
{
    fail();
}

void PeerConnection::goAway()
{
    if (mClosed) {
        return;
    }
    nghttp2_submit_goaway(mSession, NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(mSession), NGHTTP2_NO_ERROR,
                          nullptr, 0);
    wantWrite();
}

PeerStreamPtr PeerConnection::open(std::string_view path)
{
    if (mClosed) {
        return nullptr;
    }
    auto stream = std::make_shared<PeerStream>(shared_from_this(), std::string(path));
    const std::array headers{
        header(":method", "POST"),
        header(":scheme", "http"),
        header(":path", path),
        header(":authority", "loom"),
    };
    nghttp2_data_provider provider{};
    provider.read_callback = PeerCallbacks::onRead;
    const std::int32_t id = nghttp2_submit_request(mSession, nullptr, headers.data(),
                                                   headers.size(), &provider, nullptr);
    if (id < 0) {
        return nullptr;
    }
    stream->mId = id;
    mStreams[id] = stream;
    wantWrite();
    return stream;
}

void PeerConnection::incoming(std::int32_t id, std::string path)
{
    auto stream = std::make_shared<PeerStream>(shared_from_this(), std::move(path));
    stream->mId = id;
    mStreams[id] = stream;
    const std::array headers{header(":status", "200")};
    nghttp2_data_provider provider{};
    provider.read_callback = PeerCallbacks::onRead;
    nghttp2_submit_response(mSession, id, headers.data(), headers.size(), &provider);
    // Not from inside a callback of nghttp2: the handler may close the connection.
    asio::post(mSocket.get_executor(), [self = shared_from_this(), stream] {
        if (self->mHandler) {
            asio::co_spawn(self->mSocket.get_executor(), self->mHandler(stream), asio::detached);
        }
    });
}

void PeerConnection::resume(std::int32_t id)
{
    if (mClosed) {
        return;
    }
    nghttp2_session_resume_data(mSession, id);
    wantWrite();
}

void PeerConnection::resetStream(std::int32_t id)
{
    if (mClosed) {
        return;
    }
    nghttp2_submit_rst_stream(mSession, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    mStreams.erase(id);
    wantWrite();
}

void PeerConnection::consume(std::int32_t id, std::size_t bytes)
{
    if (mClosed || bytes == 0) {
        return;
    }
    nghttp2_session_consume(mSession, id, bytes);
    wantWrite();
}

PeerStreamPtr PeerConnection::find(std::int32_t id) const
{
    const auto it = mStreams.find(id);
    return it == mStreams.end() ? nullptr : it->second;
}

std::uint64_t PeerConnection::totalBytes()
{
    return sTotalBytes;
}

// ---- PeerServer ------------------------------------------------------------

class PeerServer::Impl : public std::enable_shared_from_this<PeerServer::Impl>
{
public:
    Impl(const asio::any_io_executor &executor, PeerStreamHandler handler, PeerLimits limits)
        : mAcceptor(executor)
        , mHandler(std::move(handler))
        , mLimits(limits)
    {
    }

    tl::expected<void, std::string> listen(const Tcp::endpoint &endpoint)
    {
        boost::system::error_code error;
        mAcceptor.open(endpoint.protocol(), error);
        if (!error) {
            mAcceptor.set_option(asio::socket_base::reuse_address(true), error);
        }
        if (!error) {
            mAcceptor.bind(endpoint, error);
        }
        if (!error) {
            mAcceptor.listen(asio::socket_base::max_listen_connections, error);
        }
        if (error) {
            return tl::unexpected("cannot listen on " + endpointText(endpoint) + ": "
                                  + error.message());
        }
        mLocal = mAcceptor.local_endpoint();
        asio::co_spawn(mAcceptor.get_executor(), acceptLoop(shared_from_this()), asio::detached);
        return {};
    }

    Tcp::endpoint localEndpoint() const { return mLocal; }

    void stop()
    {
        mStopping = true;
        boost::system::error_code ignored;
        mAcceptor.close(ignored);
        for (const auto &weak : mConnections) {
            if (const PeerConnectionPtr connection = weak.lock()) {
                connection->goAway();
            }
        }
    }

private:
    static awaitable<void> acceptLoop(std::shared_ptr<Impl> self)
    {
        while (!self->mStopping) {
            auto [error, socket] = co_await self->mAcceptor.async_accept(sAsValue);
            if (error == asio::error::operation_aborted || self->mStopping) {
                co_return;
            }
            if (error) {
                co_await sleepFor(std::chrono::milliseconds(10));
                continue;
            }
            std::erase_if(self->mConnections, [](const auto &weak) { return weak.expired(); });
            self->mConnections.push_back(
                PeerConnection::accept(std::move(socket), self->mHandler, self->mLimits));
        }
    }

    Tcp::acceptor mAcceptor;
    PeerStreamHandler mHandler;
    PeerLimits mLimits;
    Tcp::endpoint mLocal;
    std::vector<std::weak_ptr<PeerConnection>> mConnections;
    bool mStopping = false;
};

PeerServer::PeerServer(const asio::any_io_executor &executor, PeerStreamHandler handler,
                       PeerLimits limits)
    : mImpl(std::make_shared<Impl>(executor, std::move(handler), limits))
{
}

PeerServer::~PeerServer()
{
    mImpl->stop();
}

tl::expected<void, std::string> PeerServer::listen(const Tcp::endpoint &endpoint)
{
    return mImpl->listen(endpoint);
}

Tcp::endpoint PeerServer::localEndpoint() const
{
    return mImpl->localEndpoint();
}

void PeerServer::stopListening()
{
    mImpl->stop();
}

} // namespace Loom
