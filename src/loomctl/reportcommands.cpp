/*
 * reportcommands.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomctl).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "commands.h"

#include "burnplot.h"
#include "burnreport.h"
#include "jsonhttp.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>

namespace Loom {

namespace {

namespace json = boost::json;

/** Adds one entry's series into @p merged; coverage is averaged over the entries asked. */
void mergeReport(const json::object &report, double share, std::map<BurnSeries, MergedBurn> &merged)
{
    const json::value *rows = report.if_contains("series");
    if (rows == nullptr) {
        return;
    }
    for (const json::value &item : rows->as_array()) {
        const json::object &row = item.as_object();
        MergedBurn &series = merged[{jsonText(row, "service"), jsonText(row, "account")}];
        series.targetPerMille = jsonInteger(row, "targetPerMille", 999);
        const json::array &windows = row.at("windows").as_array();
        for (std::size_t i = 0; i < windows.size() && i < series.windows.size(); ++i) {
            const json::object &window = windows[i].as_object();
            BurnCounts counts;
            counts.total = static_cast<std::uint64_t>(jsonInteger(window, "total", 0));
            counts.bad = static_cast<std::uint64_t>(jsonInteger(window, "bad", 0));
            counts.notRun = static_cast<std::uint64_t>(jsonInteger(window, "notRun", 0));
            counts.unknown = static_cast<std::uint64_t>(jsonInteger(window, "unknown", 0));
            series.windows[i].counts.add(counts);
            series.windows[i].coverage += share * window.at("coverage").to_number<double>();
        }
    }
}

void finishWindows(std::map<BurnSeries, MergedBurn> &merged)
{
    for (auto &[series, burn] : merged) {
        for (std::size_t i = 0; i < burn.windows.size(); ++i) {
            burn.windows[i].span = sBurnWindows[i];
            burn.windows[i].burn = burnRate(burn.windows[i].counts, burn.targetPerMille);
        }
    }
}

std::string_view verdictOf(const MergedBurn &burn)
{
    return burnAlert(burn.windows.front().burn, burn.windows[2].burn);
}

json::object toJson(const BurnSeries &series, const MergedBurn &burn)
{
    json::object row;
    row["service"] = series.service;
    row["account"] = series.account;
    row["targetPerMille"] = burn.targetPerMille;
    row["verdict"] = verdictOf(burn);
    json::array windows;
    for (const BurnWindow &window : burn.windows) {
        json::object item;
        item["minutes"] = window.span.count();
        item["total"] = window.counts.total;
        item["bad"] = window.counts.bad;
        item["notRun"] = window.counts.notRun;
        item["unknown"] = window.counts.unknown;
        item["burn"] = window.burn;
        item["coverage"] = window.coverage;
        windows.push_back(std::move(item));
    }
    row["windows"] = std::move(windows);
    return row;
}

void printText(const std::map<BurnSeries, MergedBurn> &merged, std::size_t silent)
{
    std::cout << std::left << std::setw(18) << "service" << std::setw(14) << "account" << std::right
              << std::setw(9) << "requests" << std::setw(7) << "bad";
    for (const std::chrono::minutes span : sBurnWindows) {
        std::cout << std::setw(8) << span.count() << "m";
    }
    std::cout << "  verdict\n";
    for (const auto &[series, burn] : merged) {
        const BurnCounts &longest = burn.windows.back().counts;
        std::cout << std::left << std::setw(18) << series.service << std::setw(14) << series.account
                  << std::right << std::setw(9) << longest.total << std::setw(7) << longest.bad
                  << std::fixed << std::setprecision(2);
        for (const BurnWindow &window : burn.windows) {
            // A star marks a window that the counters cover only in part.
            std::cout << std::setw(8) << window.burn << (window.coverage < 0.99 ? "*" : " ");
        }
        std::cout << "  " << verdictOf(burn) << "\n";
    }
    if (silent > 0) {
        std::cout << silent << " entries did not answer: their requests are missing above\n";
    }
    std::cout << "burn 1.00 spends the error budget exactly; * the window is only partly covered\n";
}

} // namespace

Done reportBurn(CommandContext &context, const std::string &plotFile)
{
    const std::vector<json::object> reports = context.client.getAll("/admin/burn");
    std::size_t silent = 0;
    std::map<BurnSeries, MergedBurn> merged;
    for (const json::object &report : reports) {
        silent += report.empty() ? 1 : 0;
        mergeReport(report, 1.0 / static_cast<double>(reports.size()), merged);
    }
    if (silent == reports.size()) {
        return tl::unexpected(CommandFailure{CommandError::Unreachable, "no entry answered"});
    }
    finishWindows(merged);
    if (!plotFile.empty()) {
        std::ofstream file(plotFile);
        file << burnPlot(merged);
        if (!file) {
            return tl::unexpected(CommandFailure{CommandError::BadInput,
                                                 "--plot: '" + plotFile + "' cannot be written"});
        }
    }
    if (!context.json) {
        printText(merged, silent);
        return {};
    }
    json::array rows;
    for (const auto &[series, burn] : merged) {
        rows.push_back(toJson(series, burn));
    }
    json::object answer;
    answer["entriesAsked"] = reports.size();
    answer["entriesSilent"] = silent;
    answer["series"] = std::move(rows);
    std::cout << json::serialize(answer) << "\n";
    return {};
}

Done upstreamList(CommandContext &context)
{
    const auto answer = context.client.get("/admin/upstreams");
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    if (context.json) {
        std::cout << json::serialize(*answer) << "\n";
        return {};
    }
    for (const json::value &item : answer->at("upstreams").as_array()) {
        const json::object &row = item.as_object();
        const bool leaving = jsonBool(row, "leaving", false);
        const bool usable = jsonBool(row, "usable", false);
        std::cout << std::left << std::setw(24) << jsonText(row, "box") << std::setw(18)
                  << jsonText(row, "service") << std::setw(12) << jsonText(row, "dataCentre")
                  << std::setw(10) << (leaving ? "leaving" : (usable ? "usable" : "down"))
                  << jsonInteger(row, "inFlight", 0) << "/" << jsonInteger(row, "capacity", 0)
                  << "  " << json::serialize(row.at("versions")) << "\n";
    }
    return {};
}

Done entryList(CommandContext &context)
{
    const auto answer = context.client.get("/admin/entries");
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    std::cout << json::serialize(*answer) << "\n";
    return {};
}

Done drainEntry(CommandContext &context)
{
    const auto answer = context.client.post("/admin/drain");
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    std::cout << "draining\n";
    return {};
}

} // namespace Loom
