/*
 * jsonlog.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "jsonlog.h"

#include "clock.h"
#include "logratelimiter.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <span>
#include <utility>

#include <poll.h>
#include <unistd.h>

#include <glog/logging.h>

namespace Loom {

namespace {

std::string sBox;
LogLevel sLeast = LogLevel::Info;

// Of one event in a second: several times what a gateway takes when it is busy.
constexpr std::uint32_t sLinesPerSecond = 200;
LogRateLimiter sBudget(sLinesPerSecond);

// Lines that standard output did not take yet; more are dropped and counted.
constexpr std::size_t sMostPending = std::size_t{256} * 1024;
// A pipe that takes anything takes this much without blocking (PIPE_BUF).
constexpr std::size_t sWriteBytes = 4096;

/** Writes lines to standard output as far as it takes them, and never waits for it. */
class StandardOutput final : public google::LogSink
{
public:
    void send(google::LogSeverity, const char *, const char *, int, const struct tm *,
              const char *message, std::size_t length) override
    {
        if (mPending.size() - mBegin + length + 1 > sMostPending) {
            ++mDropped;
        } else {
            mPending.append(message, length);
            mPending += '\n';
        }
        flush();
    }

    void flush()
    {
        while (mBegin < mPending.size() && isWritable()) {
            const std::size_t size = std::min(sWriteBytes, mPending.size() - mBegin);
            const ssize_t written = ::write(STDOUT_FILENO, mPending.data() + mBegin, size);
            if (written <= 0) {
                break;
            }
            mBegin += static_cast<std::size_t>(written);
        }
        if (mBegin == mPending.size()) {
            mPending.clear();
            mBegin = 0;
        }
    }

    std::uint64_t takeDropped() { return std::exchange(mDropped, 0); }

private:
    static bool isWritable()
    {
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    }

    std::string mPending;
    std::size_t mBegin = 0;
    std::uint64_t mDropped = 0;
};

StandardOutput &standardOutput()
{
    static StandardOutput output;
    return output;
}

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

void setLogLevel(LogLevel least)
{
    sLeast = least;
}

void initializeLog(std::string_view program, std::string_view box, LogLevel least)
{
    static std::string sProgram; // glog keeps the pointer
    sProgram = program;
    sBox = box;
    sLeast = least;
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

namespace {

void writeLine(LogLevel level, std::string_view event, std::span<const LogField> fields)
{
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
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&standardOutput(), INFO) << text;
        return;
    case LogLevel::Warning:
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&standardOutput(), WARNING) << text;
        return;
    case LogLevel::Error:
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&standardOutput(), ERROR) << text;
        return;
    }
}

void writeLeftOut(Instant time)
{
    while (const auto left = sBudget.takeSuppressed(time)) {
        const std::array<LogField, 2> fields{LogField("of", left->event),
                                             LogField("lines", left->count)};
        writeLine(LogLevel::Warning, "lines-left-out", fields);
    }
    if (const std::uint64_t dropped = standardOutput().takeDropped(); dropped > 0) {
        const std::array<LogField, 1> fields{LogField("lines", dropped)};
        writeLine(LogLevel::Warning, "lines-dropped", fields);
    }
}

} // namespace

void logLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < sLeast) {
        return;
    }
    const Instant time = now();
    writeLeftOut(time);
    if (sBudget.allow(event, time)) {
        writeLine(level, event, fields);
    }
}

} // namespace Loom
