/*
 * kernel.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "asynctypes.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

class Kernel;

/** A part of the daemon. It finds the others by name when it starts. */
class Service
{
public:
    Service() = default;
    virtual ~Service() = default;
    Service(const Service &) = delete;
    Service &operator=(const Service &) = delete;

    /** Name by which other services find this one; unique in a kernel. */
    virtual std::string_view name() const = 0;
    /** Begins work; the error ends the process's start. */
    virtual tl::expected<void, std::string> start(Kernel &kernel) = 0;
    /** A planned stop: takes no new work and returns when none is in flight. */
    virtual awaitable<void> drain() { co_return; }
    /** Ends at once. */
    virtual void stop() { }
};

/**
 * Holds the services of one process and starts them in the order in which
 * they were added. It knows nothing of what they do. Owned by main().
 */
class Kernel
{
public:
    explicit Kernel(const asio::any_io_executor &executor)
        : mExecutor(executor)
    {
    }

    const asio::any_io_executor &executor() const { return mExecutor; }

    /** Adds a service; two of one name break an invariant and end the process. */
    void add(std::unique_ptr<Service> service);

    tl::expected<void, std::string> start();
    /** Drains in reverse order, so that work ends before what it stands on. */
    awaitable<void> drain();
    void stop();

    /** The service called @p name; its absence breaks an invariant. */
    template <class T> T &find(std::string_view name) const
    {
        return dynamic_cast<T &>(findService(name));
    }

private:
    Service &findService(std::string_view name) const;

    asio::any_io_executor mExecutor;
    std::vector<std::unique_ptr<Service>> mServices;
};

} // namespace Loom
