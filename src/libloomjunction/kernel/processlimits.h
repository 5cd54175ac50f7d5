/*
 * processlimits.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "connectionbudget.h"

namespace Loom {

/** Memory of the machine and the descriptors that this process may open. */
ProcessLimits processLimits();

} // namespace Loom
