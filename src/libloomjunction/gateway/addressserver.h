/*
 * addressserver.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "addressselector.h"
#include "kernel.h"
#include "membersettings.h"
#include "ports.h"

#include <memory>

namespace Loom {

class GatewayServer;
class MemberService;
class OperatorConfigService;

/** Serves gateway addresses to callers and a readiness check to the platform. */
class AddressServer final : public Service
{
public:
    static constexpr std::string_view sName = "address-front";

    AddressServer(CallPort &calls, const MemberSettings &settings);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override;

    /** The address for callers, including the port that the system chose for port 0. */
    Tcp::endpoint localEndpoint() const { return mAddressServer->localEndpoint(); }

private:
    awaitable<void> handle(HttpExchange &exchange);
    GatewayAddress ownAddress() const;
    HttpResponse resolveAddresses(const AddressQuery &question) const;

    CallPort &mCalls;
    const MemberSettings &mSettings;
    GatewayServer *mGateway = nullptr;
    MemberService *mMembers = nullptr;
    OperatorConfigService *mConfig = nullptr;
    std::unique_ptr<HttpServer> mAddressServer;
    std::unique_ptr<HttpServer> mReadinessServer;
};

} // namespace Loom
