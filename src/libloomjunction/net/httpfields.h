/*
 * httpfields.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "http.h"

#include <span>

namespace Loom {

/** The fields of a Beast message as plain headers. */
template <class Fields> std::vector<HttpHeader> copyHeaders(const Fields &fields)
{
    std::vector<HttpHeader> headers;
    for (const auto &field : fields) {
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return headers;
}

/** Adds @p headers to a Beast message, in their order. */
template <class Message> void fillHeaders(Message &message, std::span<const HttpHeader> headers)
{
    for (const HttpHeader &header : headers) {
        message.insert(header.name, header.value);
    }
}

} // namespace Loom
