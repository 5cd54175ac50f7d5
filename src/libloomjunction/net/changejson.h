/*
 * changejson.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "wire.pb.h"

#include <string>

#include <boost/json.hpp>

#include <tl/expected.hpp>

namespace Loom {

/**
 * Reads a change as operators send it: changeId, base, author and operations.
 * The error names the field, what was expected and what was found.
 */
tl::expected<wire::ConfigChange, std::string> changeFromJson(const boost::json::object &object);

} // namespace Loom
