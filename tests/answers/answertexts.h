/*
 * answertexts.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <string>

namespace Loom {

/** Answer to the request @p id with @p fields, each of which ends its line, and a length. */
inline std::string answerText(int status, const std::string &id, const std::string &fields,
                              const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nLoomjunction-Request-Id: " + id + "\r\n"
        + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace Loom
