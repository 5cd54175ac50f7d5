/*
 * jsonlog.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

#include <boost/json.hpp>

namespace Loom {

enum class LogLevel : unsigned char
{
    Debug,
    Info,
    Warning,
    Error
};

/** One named field of a log line. */
struct LogField
{
    LogField(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(text)
    {
    }

    template <class Number>
    requires std::is_arithmetic_v<Number> LogField(std::string_view fieldName, Number number)
        : name(fieldName)
        , value(number)
    {
    }

    std::string_view name;
    boost::json::value value;
};

/** Sends log lines to standard output as they are. Call once, early. */
void initializeLog(std::string_view program, std::string_view box, LogLevel least);

/** The level of this name; Info for a name not known. */
LogLevel logLevel(std::string_view name);
/** Lines below @p least are not written from now on. */
void setLogLevel(LogLevel least);

/**
 * Writes one JSON line: time, level, box, event and @p fields. Field names
 * are part of the interface to operators; see docs/operators/logs.md. Never
 * blocks: lines beyond a budget per event and second are left out and counted.
 */
void logLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace Loom
