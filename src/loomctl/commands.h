/*
 * commands.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomctl).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "entryclient.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Loom {

/** What all commands share. */
struct CommandContext
{
    EntryClient &client;
    bool json = false; ///< print JSON and nothing else
    std::string author;
    std::optional<std::uint64_t> base;
};

struct SettingArguments
{
    std::string scope;
    std::string key;
    std::string value; ///< JSON, or plain text for text settings
};

struct PublishArguments
{
    std::string service;
    std::string version;
    std::string file;
    Tcp::endpoint store;
    std::uint32_t chunkKib = 256;
    bool spread = true;
};

struct StatusArguments
{
    std::string service;
    std::string version; ///< empty: the one served
    bool watch = false;
    std::uint32_t timeoutSeconds = 600;
};

using Done = CommandResult<void>;

Done settingsGet(CommandContext &context);
Done settingsSet(CommandContext &context, const SettingArguments &arguments);
Done settingsUnset(CommandContext &context, const SettingArguments &arguments);
Done settingsExplain(CommandContext &context, const std::string &service, const std::string &key);
Done settingsHistory(CommandContext &context, std::uint32_t limit);
Done createAccount(CommandContext &context, const std::string &name);
Done createService(CommandContext &context, const std::string &name, const std::string &kind,
                   const std::string &account, const std::string &region);
Done modelPublish(CommandContext &context, const PublishArguments &arguments);
Done modelPromote(CommandContext &context, const std::string &service, const std::string &version);
Done modelRollback(CommandContext &context, const std::string &service);
Done modelStatus(CommandContext &context, const StatusArguments &arguments);
Done upstreamList(CommandContext &context);
Done entryList(CommandContext &context);
Done drainEntry(CommandContext &context);
Done changeFate(CommandContext &context, const std::string &changeId);
/** Merges the counters of all entries; writes an SVG plot to @p plotFile unless empty. */
Done reportBurn(CommandContext &context, const std::string &plotFile);

} // namespace Loom
