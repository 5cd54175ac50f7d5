/*
 * processlimits.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "processlimits.h"

#include <sys/resource.h>
#include <sys/sysinfo.h>

namespace Loom {

namespace {

// Those of small machines, for a system that doesn't tell.
constexpr std::size_t sUnknownMemoryBytes = std::size_t{160} * 1024 * 1024;
constexpr std::size_t sUnknownDescriptors = 1'024;

} // namespace

ProcessLimits processLimits()
{
    ProcessLimits limits{sUnknownMemoryBytes, sUnknownDescriptors};
    struct sysinfo machine = {};
    if (::sysinfo(&machine) == 0 && machine.totalram > 0) {
        limits.memoryBytes = std::size_t{machine.totalram} * machine.mem_unit;
    }
    rlimit descriptors = {};
    if (::getrlimit(RLIMIT_NOFILE, &descriptors) == 0) {
        limits.descriptors = descriptors.rlim_cur;
    }
    return limits;
}

} // namespace Loom
