/*
 * kernel.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "kernel.h"

#include <algorithm>

#include <glog/logging.h>

namespace Loom {

void Kernel::add(std::unique_ptr<Service> service)
{
    const auto sameName = [&](const auto &other) { return other->name() == service->name(); };
    CHECK(std::ranges::none_of(mServices, sameName)) << "two services named " << service->name();
    mServices.push_back(std::move(service));
}

tl::expected<void, std::string> Kernel::start()
{
    for (const auto &service : mServices) {
        if (auto started = service->start(*this); !started) {
            return tl::unexpected(std::string(service->name()) + ": " + started.error());
        }
    }
    return {};
}

awaitable<void> Kernel::drain()
{
    for (auto it = mServices.rbegin(); it != mServices.rend(); ++it) {
        co_await (*it)->drain();
    }
}

void Kernel::stop()
{
    for (auto it = mServices.rbegin(); it != mServices.rend(); ++it) {
        (*it)->stop();
    }
}

Service &Kernel::findService(std::string_view name) const
{
    const auto it = std::ranges::find_if(
        mServices, [&](const auto &service) { return service->name() == name; });
    CHECK(it != mServices.end()) << "no service named " << name;
    return **it;
}

} // namespace Loom
