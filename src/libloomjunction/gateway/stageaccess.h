/*
 * stageaccess.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "asynctypes.h"

#include <memory>

namespace Loom {

/**
 * Keeps background writes to the engine's stage apart from whoever reads it as a whole. Owned by
 * the weight staging service.
 */
class StageAccess
{
public:
    /** Nothing is written in the background while a use lives. */
    using Use = std::shared_ptr<const bool>;

    /** Begins a use, which also waits for a write that is under way. */
    awaitable<Use> acquire();
    bool isInUse() const { return mUse.use_count() > 1; }

    void beginWrite() { mIsWriteOpen = true; }
    void endWrite() { mIsWriteOpen = false; }
    /** Lets acquire() return without waiting. */
    void stop() { mStopped = true; }

private:
    Use mUse = std::make_shared<const bool>(true); ///< copied by each use
    bool mIsWriteOpen = false; ///< a background write has not been answered
    bool mStopped = false;
};

} // namespace Loom
