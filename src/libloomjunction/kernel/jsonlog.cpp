/*
 * jsonlog.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "jsonlog.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>

#include <glog/logging.h>

namespace Loom {

namespace {

std::string sBox;
LogLevel sLeast = LogLevel::Info;

constexpr std::array<std::string_view, 4> sLevelNames{"debug", "info", "warning", "error"};

std::string timeText()
{
    const auto now = std::chrono::system_clock::now();
    const auto sinceEpoch
        = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    const std::time_t seconds = sinceEpoch.count() / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text.data() + length, text.size() - length, ".%03dZ",
                  static_cast<int>(sinceEpoch.count() % 1000));
    return text.data();
}

} // namespace

void initializeLog(std::string_view program, std::string_view box, LogLevel least)
{
    static std::string sProgram; // glog keeps the pointer
    sProgram = program;
    sBox = box;
    sLeast = least;
    FLAGS_logtostderr = true; // boxes have no disks
    FLAGS_log_prefix = false; // a prefix would break the JSON lines
    google::InitGoogleLogging(sProgram.c_str());
}

LogLevel logLevel(std::string_view name)
{
    for (std::size_t i = 0; i < sLevelNames.size(); ++i) {
        if (sLevelNames[i] == name) {
            return static_cast<LogLevel>(i);
        }
    }
    return LogLevel::Info;
}

void logLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < sLeast) {
        return;
    }
    boost::json::object line;
    line["time"] = timeText();
    line["level"] = sLevelNames[static_cast<std::size_t>(level)];
    line["box"] = sBox;
    line["event"] = event;
    for (const LogField &field : fields) {
        line[field.name] = field.value;
    }
    const std::string text = boost::json::serialize(line);
    switch (level) {
    case LogLevel::Debug:
    case LogLevel::Info:
        LOG(INFO) << text;
        return;
    case LogLevel::Warning:
        LOG(WARNING) << text;
        return;
    case LogLevel::Error:
        LOG(ERROR) << text;
        return;
    }
}

} // namespace Loom
