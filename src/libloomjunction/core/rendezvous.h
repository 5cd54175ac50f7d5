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

/** Rendezvous weight of @p node for @p key; identical on every box and in every build. */
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

/** Indexes of @p nodes by descending weight for @p key, at most @p count of them. */
std::vector<std::size_t> rendezvousOrder(std::string_view key, std::span<const std::string> nodes,
                                         std::size_t count);

/**
 * Assigns an owner to each of @p keys, returned as an index of @p nodes: the node with the
 * highest weight that does not have its equal share of keys yet. The result depends only
 * on the two lists and their order. Adding or removing a node reassigns few keys besides
 * those of that node.
 */
std::vector<std::size_t> evenOwners(std::span<const std::string> keys,
                                    std::span<const std::string> nodes);

} // namespace Loom
