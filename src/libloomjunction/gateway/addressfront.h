/*
 * addressfront.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "addressselector.h"
#include "directsettings.h"
#include "kernel.h"
#include "ports.h"

#include <memory>

namespace Loom {

class GatewayFront;
class MemberService;

/** Tells callers which gateways to use, and the platform whether this one is ready. */
class AddressFront final : public Service
{
public:
    static constexpr std::string_view sName = "address-front";

    AddressFront(CallPort &calls, const DirectSettings &settings);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override;

    /** Where callers ask, e.g. after asking for port 0. */
    Tcp::endpoint localEndpoint() const { return mAddresses->localEndpoint(); }

private:
    awaitable<void> handle(HttpExchange &exchange);
    GatewayAddress ownPlace() const;
    HttpResponse answer(const AddressQuestion &question) const;

    CallPort &mCalls;
    const DirectSettings &mSettings;
    GatewayFront *mFront = nullptr;
    MemberService *mMembers = nullptr;
    std::unique_ptr<HttpServer> mAddresses;
    std::unique_ptr<HttpServer> mReadiness;
};

} // namespace Loom
