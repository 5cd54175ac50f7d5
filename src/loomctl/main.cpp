/*
 * main.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomctl).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "commands.h"

#include <iostream>

#include <CLI/CLI.hpp>

using namespace Loom;

namespace {

/** Everything that the command line can say. */
struct Arguments
{
    std::vector<std::string> entries;
    bool json = false;
    std::string author = "operator";
    std::optional<std::uint64_t> base;
    SettingArguments setting;
    std::string service;
    std::string version;
    std::string key;
    std::string name;
    std::string kind = "model";
    std::string account;
    std::string region;
    std::string store;
    std::string plot;
    std::uint32_t limit = 20;
    PublishArguments publish;
    StatusArguments status;
};

using Command = std::function<Done(CommandContext &)>;

/** Adds subcommands; the chosen one's action is kept for main(). */
class CommandLine
{
public:
    explicit CommandLine(Arguments &arguments)
        : mArguments(arguments)
    {
        mApp.add_option("--entry", mArguments.entries,
                        "operators' address of an entry (repeatable)")
            ->envname("LOOM_ENTRY")
            ->delimiter(',')
            ->required();
        mApp.add_flag("--json", mArguments.json, "print JSON");
        mApp.add_option("--author", mArguments.author, "who makes the change");
        mApp.add_option("--base", mArguments.base, "offset the change is based on");
        mApp.require_subcommand(1);
        addSettings();
        addCreation();
        addModel();
        addRest();
    }

    CLI::App &app() { return mApp; }
    const Command &chosen() const { return mChosen; }

private:
    CLI::App *command(CLI::App *parent, const std::string &name, const std::string &text,
                      Command action)
    {
        CLI::App *added = parent->add_subcommand(name, text);
        added->callback([this, action = std::move(action)] { mChosen = action; });
        return added;
    }

    CLI::App *group(const std::string &name, const std::string &text)
    {
        CLI::App *added = mApp.add_subcommand(name, text);
        added->require_subcommand(1);
        return added;
    }

    void addSettings()
    {
        Arguments &a = mArguments;
        CLI::App *settings = group("settings", "the tree of settings");
        command(settings, "get", "every value that is set", settingsGet);
        CLI::App *set = command(settings, "set", "set a value",
                                [&a](CommandContext &c) { return settingsSet(c, a.setting); });
        set->add_option("SCOPE", a.setting.scope, "/, /region/R, /account/A or /service/S")
            ->required();
        set->add_option("KEY", a.setting.key, "name of the setting")->required();
        set->add_option("VALUE", a.setting.value, "JSON value")->required();
        CLI::App *unset = command(settings, "unset", "remove a value",
                                  [&a](CommandContext &c) { return settingsUnset(c, a.setting); });
        unset->add_option("SCOPE", a.setting.scope)->required();
        unset->add_option("KEY", a.setting.key)->required();
        CLI::App *explain
            = command(settings, "explain", "a service's values and where they come from",
                      [&a](CommandContext &c) { return settingsExplain(c, a.service, a.key); });
        explain->add_option("SERVICE", a.service)->required();
        explain->add_option("KEY", a.key);
        CLI::App *history
            = command(settings, "history", "the last changes",
                      [&a](CommandContext &c) { return settingsHistory(c, a.limit); });
        history->add_option("--limit", a.limit, "how many");
        CLI::App *fate = command(settings, "fate", "how a change id ended",
                                 [&a](CommandContext &c) { return changeFate(c, a.name); });
        fate->add_option("CHANGE", a.name)->required();
    }

    void addCreation()
    {
        Arguments &a = mArguments;
        CLI::App *account = group("account", "client accounts");
        command(account, "create", "create a client account",
                [&a](CommandContext &c) { return createAccount(c, a.name); })
            ->add_option("NAME", a.name)
            ->required();
        CLI::App *service = group("service", "services");
        CLI::App *create = command(service, "create", "create a service", [&a](CommandContext &c) {
            return createService(c, a.name, a.kind, a.account, a.region);
        });
        create->add_option("NAME", a.name)->required();
        create->add_option("--kind", a.kind, "model or plain");
        create->add_option("--account", a.account, "client account it belongs to");
        create->add_option("--region", a.region, "region it belongs to");
    }

    void addModel()
    {
        Arguments &a = mArguments;
        CLI::App *model = group("model", "model versions");
        CLI::App *publish
            = command(model, "publish", "upload weights and spread them", publishAction());
        publish->add_option("SERVICE", a.publish.service)->required();
        publish->add_option("VERSION", a.publish.version)->required();
        publish->add_option("FILE", a.publish.file)->required();
        publish->add_option("--store", a.store, "IP:PORT of the weight store")
            ->envname("LOOM_STORE")
            ->required();
        publish->add_option("--chunk-kib", a.publish.chunkKib, "bytes a chunk, in KiB")
            ->check(CLI::Range(1, 4096));
        publish->add_flag("!--no-spread", a.publish.spread, "do not load it beside the served one");
        CLI::App *promote = command(model, "promote", "serve a version", [&a](CommandContext &c) {
            return modelPromote(c, a.service, a.version);
        });
        promote->add_option("SERVICE", a.service)->required();
        promote->add_option("VERSION", a.version)->required();
        command(model, "rollback", "serve the version before",
                [&a](CommandContext &c) { return modelRollback(c, a.service); })
            ->add_option("SERVICE", a.service)
            ->required();
        CLI::App *status = command(model, "status", "where a version is",
                                   [&a](CommandContext &c) { return modelStatus(c, a.status); });
        status->add_option("SERVICE", a.status.service)->required();
        status->add_option("VERSION", a.status.version);
        status->add_flag("--watch", a.status.watch, "until every replica holds it");
        status->add_option("--timeout", a.status.timeoutSeconds, "seconds to watch at most");
    }

    Command publishAction()
    {
        Arguments &a = mArguments;
        return [&a](CommandContext &c) -> Done {
            const auto store = parseEndpoint(a.store);
            if (!store) {
                return tl::unexpected(
                    CommandFailure{CommandError::BadInput, "--store: " + store.error()});
            }
            a.publish.store = *store;
            return modelPublish(c, a.publish);
        };
    }

    void addRest()
    {
        Arguments &a = mArguments;
        command(group("upstream", "upstream boxes"), "list", "what this entry sees", upstreamList);
        CLI::App *entry = group("entry", "entry boxes");
        command(entry, "list", "the listed entries", entryList);
        command(entry, "drain", "planned stop of the first --entry", drainEntry);
        CLI::App *burn = command(group("report", "reports"), "burn", "service-level burn",
                                 [&a](CommandContext &c) { return reportBurn(c, a.plot); });
        burn->add_option("--plot", a.plot, "write an SVG picture to this file");
    }

    Arguments &mArguments;
    CLI::App mApp{"loomctl: drives loomjunction"};
    Command mChosen;
};

} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    CommandLine line(arguments);
    try {
        line.app().parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        const int code = line.app().exit(error);
        return code == 0 ? 0 : static_cast<int>(CommandError::BadInput);
    }
    std::vector<Tcp::endpoint> entries;
    for (const std::string &text : arguments.entries) {
        const auto endpoint = parseEndpoint(text);
        if (!endpoint) {
            std::cerr << "--entry: " << endpoint.error() << "\n";
            return static_cast<int>(CommandError::BadInput);
        }
        entries.push_back(*endpoint);
    }
    EntryClient client(std::move(entries));
    CommandContext context{client, arguments.json, arguments.author, arguments.base};
    const Done done = line.chosen()(context);
    if (!done) {
        std::cerr << done.error().text << "\n";
        return static_cast<int>(done.error().error);
    }
    return 0;
}
