/*
 * peerconnection.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "peerstream.h"

#include <map>

struct nghttp2_session;

namespace Loom {

struct PeerLimits
{
    std::uint32_t messageBytes = 16 * 1024 * 1024;
    std::uint32_t streamWindow = 1024 * 1024;
    std::int32_t connectionWindow = 16 * 1024 * 1024;
    std::uint32_t streams = 4096;
};

/** One nghttp2 connection between two of the system's processes. */
class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
    /** Connects; the error is NotConnected or TimedOut. */
    static awaitable<tl::expected<std::shared_ptr<PeerConnection>, PeerError>>
    connect(Tcp::endpoint endpoint, std::chrono::milliseconds timeout, PeerLimits limits = {});

    /** Serves the streams that come in on @p socket. */
    static std::shared_ptr<PeerConnection> accept(Tcp::socket socket, PeerStreamHandler handler,
                                                  PeerLimits limits = {});

    ~PeerConnection();
    PeerConnection(const PeerConnection &) = delete;
    PeerConnection &operator=(const PeerConnection &) = delete;

    /** Opens a stream; null on a closed connection. */
    PeerStreamPtr open(std::string_view path);
    bool isOpen() const { return !mClosed; }
    std::size_t openStreams() const { return mStreams.size(); }
    std::uint64_t bytesIn() const { return mBytesIn; }
    std::uint64_t bytesOut() const { return mBytesOut; }
    /** Tells the other side to open no more streams; those open go on. */
    void goAway();
    void close();
    /** Of the other side; not set when it was gone already. */
    const Tcp::endpoint &remote() const { return mRemote; }
    asio::any_io_executor executor() { return mSocket.get_executor(); }

    /** Counts over all connections of the process, for metrics and the control bench. */
    static std::uint64_t totalBytes();

private:
    friend class PeerStream;
    friend struct PeerCallbacks;

    PeerConnection(Tcp::socket socket, bool isServer, PeerStreamHandler handler, PeerLimits limits);

    void begin();
    void readMore();
    void wantWrite();
    void flush();
    void fail();
    void resume(std::int32_t id);
    void resetStream(std::int32_t id);
    void consume(std::int32_t id, std::size_t bytes);
    void consumeUnread(std::size_t bytes);
    void incoming(std::int32_t id, std::string path);
    PeerStreamPtr find(std::int32_t id) const;

    Tcp::socket mSocket;
    Tcp::endpoint mRemote;
    bool mIsServer;
    PeerStreamHandler mHandler;
    PeerLimits mLimits;
    nghttp2_session *mSession = nullptr;
    std::map<std::int32_t, PeerStreamPtr> mStreams;
    std::map<std::int32_t, std::string> mPendingPaths;
    std::string mReadBuffer;
    std::string mWriteBuffer;
    bool mWriting = false;
    bool mFlushPosted = false;
    bool mClosed = false;
    std::uint64_t mBytesIn = 0;
    std::uint64_t mBytesOut = 0;
};

using PeerConnectionPtr = std::shared_ptr<PeerConnection>;

} // namespace Loom
