/*
 * modelcommands.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomctl).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "commands.h"

#include "digest.h"
#include "jsonhttp.h"
#include "manifest.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <thread>

namespace Loom {

namespace {

namespace json = boost::json;

constexpr std::uint32_t sKib = 1024;
constexpr std::chrono::milliseconds sWatchStep{250};

struct Progress
{
    std::int64_t replicas = 0;
    std::int64_t holding = 0;
    std::int64_t chunks = 0;
    std::int64_t chunksWanted = 0;
    std::int64_t originBytes = 0;

    bool isComplete() const { return replicas > 0 && holding == replicas; }
};

CommandResult<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return tl::unexpected(
            CommandFailure{CommandError::BadInput, "FILE: '" + path + "' cannot be read"});
    }
    std::string data((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    if (data.empty()) {
        return tl::unexpected(CommandFailure{CommandError::BadInput, "FILE: is empty"});
    }
    return data;
}

CommandResult<void> upload(CommandContext &context, const PublishArguments &arguments,
                           const Manifest &manifest, std::string_view data)
{
    const std::string text = manifest.text();
    const std::string digest = sha256Hex(text);
    for (std::uint32_t index = 0; index < manifest.chunkCount(); ++index) {
        const std::size_t begin = std::size_t{index} * manifest.chunkBytes;
        const auto sent
            = context.client.put(arguments.store, "/chunks/" + digest + "/" + std::to_string(index),
                                 std::string(data.substr(begin, manifest.chunkSize(index))));
        if (!sent) {
            return sent;
        }
    }
    // The manifest goes last: whoever finds it finds all its chunks.
    return context.client.put(arguments.store, "/manifests/" + digest, text);
}

json::object setOperation(const std::string &service, std::string_view key,
                          const std::string &value)
{
    json::object operation;
    operation["op"] = "set";
    operation["scope"] = "/service/" + service;
    operation["key"] = key;
    operation["value"] = value;
    return operation;
}

CommandResult<json::object> serviceRow(CommandContext &context, const std::string &service)
{
    const auto state = context.client.get("/admin/state");
    if (!state) {
        return tl::unexpected(state.error());
    }
    for (const json::value &item : state->at("services").as_array()) {
        if (jsonText(item.as_object(), "name") == service) {
            return item.as_object();
        }
    }
    return tl::unexpected(
        CommandFailure{CommandError::Refused, "service '" + service + "' is not known"});
}

Done switchVersion(CommandContext &context, const std::string &service, const std::string &version,
                   const std::string &before)
{
    // The version before stays loaded, so that going back takes no transfer.
    json::array operations;
    operations.push_back(setOperation(service, "model.version", version));
    operations.push_back(setOperation(service, "model.spread", before));
    const auto result = context.client.submit(std::move(operations), context.author, context.base);
    if (!result) {
        return tl::unexpected(result.error());
    }
    if (context.json) {
        std::cout << json::serialize(*result) << "\n";
    } else {
        std::cout << service << " serves " << version << " (before: " << before << "), offset "
                  << jsonInteger(*result, "offset", 0) << "\n";
    }
    return {};
}

void addUpstream(const json::object &row, const std::string &version, Progress &progress)
{
    ++progress.replicas;
    bool holds = false;
    for (const json::value &loaded : row.at("versions").as_array()) {
        holds = holds || loaded.as_string() == version;
    }
    progress.holding += holds ? 1 : 0;
    progress.chunks += jsonInteger(row, "fetchedChunks", 0);
    progress.chunksWanted += jsonInteger(row, "totalChunks", 0);
    progress.originBytes += jsonInteger(row, "originBytes", 0);
}

CommandResult<Progress> progressOf(CommandContext &context, const std::string &service,
                                   const std::string &version)
{
    // Each entry sees the agents it is linked to; together they see all.
    std::map<std::string, json::object> boxes;
    bool answered = false;
    for (const json::object &answer : context.client.getAll("/admin/upstreams")) {
        const json::value *rows = answer.if_contains("upstreams");
        if (rows == nullptr) {
            continue;
        }
        answered = true;
        for (const json::value &row : rows->as_array()) {
            boxes[jsonText(row.as_object(), "box")] = row.as_object();
        }
    }
    if (!answered) {
        return tl::unexpected(CommandFailure{CommandError::Unreachable, "no entry answered"});
    }
    Progress progress;
    for (const auto &[box, row] : boxes) {
        if (jsonText(row, "service") == service) {
            addUpstream(row, version, progress);
        }
    }
    return progress;
}

void printProgress(const CommandContext &context, const std::string &version,
                   const Progress &progress, double seconds)
{
    if (context.json) {
        json::object line;
        line["version"] = version;
        line["replicas"] = progress.replicas;
        line["holding"] = progress.holding;
        line["chunks"] = progress.chunks;
        line["chunksWanted"] = progress.chunksWanted;
        line["originBytes"] = progress.originBytes;
        line["seconds"] = seconds;
        std::cout << json::serialize(line) << std::endl;
        return;
    }
    std::cout << version << ": " << progress.holding << " of " << progress.replicas << " replicas, "
              << progress.chunks << "/" << progress.chunksWanted << " chunks, "
              << progress.originBytes << " bytes from the origin, " << seconds << " s" << std::endl;
}

} // namespace

Done modelPublish(CommandContext &context, const PublishArguments &arguments)
{
    const auto data = readFile(arguments.file);
    if (!data) {
        return tl::unexpected(data.error());
    }
    const Manifest manifest = Manifest::fromWeights(
        arguments.service, arguments.version, std::as_bytes(std::span(data->data(), data->size())),
        arguments.chunkKib * sKib);
    const auto uploaded = upload(context, arguments, manifest, *data);
    if (!uploaded) {
        return uploaded;
    }
    json::object publish;
    publish["op"] = "publishVersion";
    publish["service"] = arguments.service;
    publish["version"] = arguments.version;
    publish["manifestDigest"] = sha256Hex(manifest.text());
    publish["sizeBytes"] = manifest.sizeBytes;
    publish["chunkBytes"] = manifest.chunkBytes;
    json::array operations;
    operations.push_back(std::move(publish));
    if (arguments.spread) {
        operations.push_back(setOperation(arguments.service, "model.spread", arguments.version));
    }
    auto result = context.client.submit(std::move(operations), context.author, context.base);
    if (!result) {
        return tl::unexpected(result.error());
    }
    (*result)["wholeDigest"] = manifest.wholeDigest;
    (*result)["chunks"] = manifest.chunkCount();
    if (context.json) {
        std::cout << json::serialize(*result) << "\n";
    } else {
        std::cout << "published " << arguments.version << " of " << arguments.service << ": "
                  << manifest.sizeBytes << " bytes in " << manifest.chunkCount()
                  << " chunks, offset " << jsonInteger(*result, "offset", 0) << "\n";
    }
    return {};
}

Done modelPromote(CommandContext &context, const std::string &service, const std::string &version)
{
    const auto row = serviceRow(context, service);
    if (!row) {
        return tl::unexpected(row.error());
    }
    const std::string served = jsonText(*row, "version");
    return switchVersion(context, service, version, served == version ? "" : served);
}

Done modelRollback(CommandContext &context, const std::string &service)
{
    const auto row = serviceRow(context, service);
    if (!row) {
        return tl::unexpected(row.error());
    }
    const std::string previous = jsonText(*row, "previous");
    if (previous.empty()) {
        return tl::unexpected(CommandFailure{
            CommandError::Refused, "service '" + service + "' has served no version before"});
    }
    return switchVersion(context, service, previous, jsonText(*row, "version"));
}

Done modelStatus(CommandContext &context, const StatusArguments &arguments)
{
    std::string version = arguments.version;
    if (version.empty()) {
        const auto row = serviceRow(context, arguments.service);
        if (!row) {
            return tl::unexpected(row.error());
        }
        version = jsonText(*row, "version");
    }
    const auto begun = std::chrono::steady_clock::now();
    while (true) {
        const auto progress = progressOf(context, arguments.service, version);
        if (!progress) {
            return tl::unexpected(progress.error());
        }
        const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begun;
        printProgress(context, version, *progress, took.count());
        if (!arguments.watch || progress->isComplete()) {
            return {};
        }
        if (took.count() > arguments.timeoutSeconds) {
            return tl::unexpected(
                CommandFailure{CommandError::Unsettled, "not on all replicas in time"});
        }
        std::this_thread::sleep_for(sWatchStep);
    }
}

} // namespace Loom
