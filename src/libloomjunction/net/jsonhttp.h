/*
 * jsonhttp.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "http.h"

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json.hpp>

namespace Loom {

/** The object in @p text; an empty one where it holds none. */
boost::json::object jsonObject(std::string_view text);

std::int64_t jsonInteger(const boost::json::object &object, std::string_view name,
                         std::int64_t standard);
bool jsonBool(const boost::json::object &object, std::string_view name, bool standard);
std::string jsonText(const boost::json::object &object, std::string_view name);

/** A JSON answer. */
HttpResponse jsonResponse(int status, const boost::json::value &value);
/** {"error": text} with @p status. */
HttpResponse errorResponse(int status, std::string_view text);

/** A whole number from a query parameter. */
std::uint64_t queryNumber(const HttpRequest &request, std::string_view name,
                          std::uint64_t standard);

/** The part of the path after @p prefix up to the next '/'; advances @p path past it. */
std::string_view takeSegment(std::string_view &path);

} // namespace Loom
