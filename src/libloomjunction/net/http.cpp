/*
 * http.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "http.h"

#include <algorithm>

#include <boost/beast/core/string.hpp>

namespace Loom {

namespace {

constexpr std::string_view sJsonType = "application/json";

std::string_view headerIn(const std::vector<HttpHeader> &headers, std::string_view name)
{
    const auto it = std::ranges::find_if(headers, [&](const HttpHeader &header) {
        return boost::beast::iequals(header.name, name);
    });
    return it == headers.end() ? std::string_view() : std::string_view(it->value);
}

} // namespace

std::string_view HttpRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::optional<std::string_view> HttpRequest::query(std::string_view name) const
{
    const std::size_t mark = target.find('?');
    std::string_view rest = mark == std::string::npos ? std::string_view()
                                                      : std::string_view(target).substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
        }
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return std::nullopt;
}

std::string_view HttpRequest::header(std::string_view name) const
{
    return headerIn(headers, name);
}

std::string_view HttpResponse::header(std::string_view name) const
{
    return headerIn(headers, name);
}

HttpResponse HttpResponse::json(int status, std::string body)
{
    return {status, {{"Content-Type", std::string(sJsonType)}}, std::move(body)};
}

} // namespace Loom
