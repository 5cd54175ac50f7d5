/*
 * jsonhttp.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "jsonhttp.h"

#include <charconv>

namespace Loom {

boost::json::object jsonObject(std::string_view text)
{
    boost::system::error_code error;
    boost::json::value value = boost::json::parse(text, error);
    return !error && value.is_object() ? std::move(value.as_object()) : boost::json::object();
}

std::int64_t jsonInteger(const boost::json::object &object, std::string_view name,
                         std::int64_t standard)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_int64() ? value->as_int64() : standard;
}

bool jsonBool(const boost::json::object &object, std::string_view name, bool standard)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_bool() ? value->as_bool() : standard;
}

std::string jsonText(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

HttpResponse jsonResponse(int status, const boost::json::value &value)
{
    return HttpResponse::json(status, boost::json::serialize(value));
}

HttpResponse errorResponse(int status, std::string_view text)
{
    return jsonResponse(status, boost::json::object{{"error", text}});
}

std::uint64_t queryNumber(const HttpRequest &request, std::string_view name, std::uint64_t standard)
{
    const auto text = request.query(name);
    std::uint64_t number = standard;
    if (text) {
        std::from_chars(text->data(), text->data() + text->size(), number);
    }
    return number;
}

std::string_view takeSegment(std::string_view &path)
{
    if (path.starts_with('/')) {
        path.remove_prefix(1);
    }
    const std::size_t end = path.find('/');
    const std::string_view segment = path.substr(0, end);
    path.remove_prefix(segment.size());
    return segment;
}

} // namespace Loom
