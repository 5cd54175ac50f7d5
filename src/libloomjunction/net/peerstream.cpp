/*
 * peerstream.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "peerstream.h"

#include "peerconnection.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace Loom {

namespace {

constexpr std::chrono::hours sLongWait{1};
constexpr std::size_t sLengthBytes = 4;
constexpr std::size_t sHighWaterBytes = std::size_t{256} * 1024;
// Sent data is cut off the queue once this much of it is behind.
constexpr std::size_t sTrimBytes = std::size_t{64} * 1024;

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
    co_return co_await drainedBy(Deadline::max());
}

awaitable<bool> PeerStream::drainedBy(Deadline deadline)
{
    co_return co_await queuedAtMost(sHighWaterBytes, deadline);
}

awaitable<bool> PeerStream::sentBy(Deadline deadline)
{
    co_return co_await queuedAtMost(0, deadline);
}

awaitable<bool> PeerStream::queuedAtMost(std::size_t most, Deadline deadline)
{
    const auto isFull = [this, most] { return mOut.size() - mOutBegin > most; };
    while (!mClosed && isFull() && std::chrono::steady_clock::now() < deadline) {
        const auto until = std::min(deadline, std::chrono::steady_clock::now() + sLongWait);
        co_await mWritable.waitUntil(until);
    }
    co_return !mClosed && !isFull();
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
    mBytesIn += data.size();
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
    if (mSentBytes != nullptr) {
        *mSentBytes += given;
    }
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
    mConnection->consumeUnread(std::exchange(mUnconsumed, 0));
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

} // namespace Loom
