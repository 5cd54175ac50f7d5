/*
 * statebench.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loombench).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <cstdint>

#include <boost/json.hpp>

namespace Loom {

/**
 * Memory and processor time of the state that processes keep, for
 * docs/CAPACITY.md: a configuration of @p services services with ten values
 * each, @p keys once keys with answers of 200 bytes, and @p keys attempts.
 */
boost::json::object measureState(std::uint32_t services, std::uint32_t keys);

} // namespace Loom
