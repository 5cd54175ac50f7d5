/*
 * rendezvous.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

/** Weight of @p node for @p key; the same on every box and in every build. */
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

/** Indexes of @p nodes, heaviest for @p key first; at most @p count of them. */
std::vector<std::size_t> rendezvousOrder(std::string_view key, std::span<const std::string> nodes,
                                         std::size_t count);

/**
 * The owner of each of @p keys as an index of @p nodes: the heaviest node that
 * does not own its even share yet. The same for the same lists in the same
 * order; a node that comes or goes moves few keys beyond its own.
 */
std::vector<std::size_t> evenOwners(std::span<const std::string> keys,
                                    std::span<const std::string> nodes);

} // namespace Loom
