/*
 * peerstream.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "asynctypes.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <google/protobuf/message_lite.h>

namespace Loom {

/** Why a stream or connection between two processes is of no more use. */
enum class PeerError : std::uint8_t
{
    NotConnected,
    Cut, ///< the connection ended before the stream did
    Reset, ///< the other side gave the stream up
    TimedOut,
    Malformed, ///< a frame or message that cannot be
};

class PeerConnection;

/**
 * One stream of typed messages on an HTTP/2 connection. Each message is a
 * four-byte length and a protobuf message. What is not read holds the sender
 * back by flow control. Shared by its user and its connection.
 */
class PeerStream : public std::enable_shared_from_this<PeerStream>
{
public:
    using Deadline = std::chrono::steady_clock::time_point;

    PeerStream(std::shared_ptr<PeerConnection> connection, std::string path);

    /** Bytes of messages that came in so far, of those too that are not whole yet. */
    std::uint64_t bytesIn() const { return mBytesIn; }
    const std::string &path() const { return mPath; }
    const std::shared_ptr<PeerConnection> &connection() const { return mConnection; }
    bool isOpen() const { return !mClosed; }

    /** Adds to @p sentBytes, which must outlive the stream, what leaves from now on. */
    void countInto(std::uint64_t &sentBytes) { mSentBytes = &sentBytes; }

    /** Queues @p message; nothing happens on a closed stream. */
    void send(const google::protobuf::MessageLite &message);
    /** Waits until little is queued; false when the stream closed. */
    awaitable<bool> drained();
    /** As drained(); false, too, when the other side does not take it by @p deadline. */
    awaitable<bool> drainedBy(Deadline deadline);
    /** Waits until all that is queued has left, as far as the other side lets it. */
    awaitable<bool> sentBy(Deadline deadline);
    /** No more messages from this side. */
    void finish();
    /** Gives the stream up, both ways. */
    void reset();

    /** The next message's bytes; nothing at the clean end of the stream. */
    awaitable<tl::expected<std::optional<std::string>, PeerError>> receive(Deadline deadline);

    /** As receive(), parsed. A message that does not parse closes the connection. */
    template <class Message>
    awaitable<tl::expected<std::optional<Message>, PeerError>> receiveMessage(Deadline deadline)
    {
        auto bytes = co_await receive(deadline);
        if (!bytes) {
            co_return tl::unexpected(bytes.error());
        }
        if (!*bytes) {
            co_return std::optional<Message>();
        }
        Message message;
        if (!message.ParseFromString(**bytes)) {
            closeMalformed();
            co_return tl::unexpected(PeerError::Malformed);
        }
        co_return std::optional<Message>(std::move(message));
    }

private:
    friend class PeerConnection;
    friend struct PeerCallbacks;

    awaitable<bool> queuedAtMost(std::size_t most, Deadline deadline);
    bool takeData(std::string_view data);
    std::ptrdiff_t giveData(char *buffer, std::size_t size, bool &ended);
    void noteEnd();
    void close(PeerError error);
    void closeMalformed();

    std::shared_ptr<PeerConnection> mConnection;
    std::string mPath;
    std::uint64_t mBytesIn = 0;
    std::uint64_t *mSentBytes = nullptr; ///< null: nobody counts
    std::int32_t mId = -1;
    std::string mOut;
    std::size_t mOutBegin = 0;
    bool mFinished = false;
    std::deque<std::string> mIn;
    std::string mPartial;
    std::size_t mUnconsumed = 0;
    bool mEnded = false;
    bool mClosed = false;
    PeerError mError = PeerError::Cut;
    Signal mReadable;
    Signal mWritable;
};

using PeerStreamPtr = std::shared_ptr<PeerStream>;
/** Runs a stream that the other side opened. */
using PeerStreamHandler = std::function<awaitable<void>(PeerStreamPtr)>;

} // namespace Loom
