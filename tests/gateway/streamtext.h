/*
 * streamtext.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <array>
#include <cstdio>
#include <string>

namespace Loom {

/** Text of one server-sent event. */
inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

/** Response head of an event stream that answers the request with the id @p id. */
inline std::string streamHead(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nLoomjunction-Request-Id: " + id
        + "\r\nLoomjunction-Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\n\r\n";
}

/** Encodes @p data as one chunk of a chunked HTTP body. */
inline std::string chunk(const std::string &data)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return size.data() + data + "\r\n";
}

inline const std::string sLastChunk = "0\r\n\r\n";

} // namespace Loom
