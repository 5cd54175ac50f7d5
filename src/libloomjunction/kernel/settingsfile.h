/*
 * settingsfile.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "asynctypes.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include <tl/expected.hpp>

namespace Loom {

/**
 * Reads one JSON object of a settings file. Every problem is gathered with
 * the file, the field's full name, what was expected and what was found;
 * fields that nobody asked for are problems too.
 */
class SettingsReader
{
public:
    /** Parses @p path; the error names the file. */
    static tl::expected<boost::json::object, std::string> load(const std::string &path);

    SettingsReader(std::string file, std::string prefix, const boost::json::object &object,
                   std::vector<std::string> &problems);

    std::string text(std::string_view field);
    std::string text(std::string_view field, std::string_view standard);
    std::int64_t integer(std::string_view field, std::int64_t least, std::int64_t most,
                         std::int64_t standard);
    double real(std::string_view field, double least, double most, double standard);
    bool boolean(std::string_view field, bool standard);
    Tcp::endpoint endpoint(std::string_view field);
    /** A list of IP:PORT; empty where the field is absent. */
    std::vector<Tcp::endpoint> endpoints(std::string_view field);
    /** The texts in an object by field; none if the object is absent. */
    std::map<std::string, std::string, std::less<>> texts(std::string_view field);
    std::string oneOf(std::string_view field, std::initializer_list<std::string_view> choices);

    /** A nested object; an empty one where it is absent or wrong. */
    SettingsReader child(std::string_view field);
    bool has(std::string_view field) const { return mObject->contains(field); }

    /** Complains of every field that was not asked for. Call last. */
    void refuseUnknown();

private:
    const boost::json::value *value(std::string_view field);
    void problem(std::string_view field, std::string_view expected,
                 const boost::json::value *found);

    std::string mFile;
    std::string mPrefix;
    const boost::json::object *mObject;
    std::vector<std::string> *mProblems;
    std::set<std::string, std::less<>> mKnown;
};

} // namespace Loom
