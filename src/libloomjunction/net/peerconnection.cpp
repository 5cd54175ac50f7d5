/*
 * peerconnection.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "peerconnection.h"

#include <array>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <nghttp2/nghttp2.h>

namespace Loom {

namespace {

constexpr std::size_t sReadBytes = std::size_t{64} * 1024;
constexpr std::size_t sWriteBytes = std::size_t{128} * 1024;

std::uint64_t sTotalBytes = 0;

nghttp2_nv header(std::string_view name, std::string_view value)
{
    // nghttp2 copies both; its interface lacks the const.
    return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data())),
            reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data())), name.size(),
            value.size(), NGHTTP2_NV_FLAG_NONE};
}

} // namespace

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
    mRemote = mSocket.remote_endpoint(ignored);

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
    auto socket = co_await connectPersistently(endpoint, timeout);
    if (!socket) {
        const bool late = socket.error() == asio::error::operation_aborted
            || socket.error() == asio::error::timed_out;
        co_return tl::unexpected(late ? PeerError::TimedOut : PeerError::NotConnected);
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

// What a reset stream had received and nobody read still counts in the window
// of the whole connection.
void PeerConnection::consumeUnread(std::size_t bytes)
{
    if (mClosed || bytes == 0) {
        return;
    }
    nghttp2_session_consume_connection(mSession, bytes);
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

} // namespace Loom
