/*
 * settingsfile.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "settingsfile.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace Loom {

namespace {

const boost::json::object sEmptyObject;

} // namespace

tl::expected<boost::json::object, std::string> SettingsReader::load(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return tl::unexpected(path + ": cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(text.str(), error);
    if (error) {
        return tl::unexpected(path + ": expected JSON, found: " + error.message());
    }
    if (!value.is_object()) {
        return tl::unexpected(path + ": expected a JSON object");
    }
    return value.as_object();
}

SettingsReader::SettingsReader(std::string file, std::string prefix,
                               const boost::json::object &object,
                               std::vector<std::string> &problems)
    : mFile(std::move(file))
    , mPrefix(std::move(prefix))
    , mObject(&object)
    , mProblems(&problems)
{
}

const boost::json::value *SettingsReader::value(std::string_view field)
{
    mKnown.insert(std::string(field));
    return mObject->if_contains(field);
}

void SettingsReader::problem(std::string_view field, std::string_view expected,
                             const boost::json::value *found)
{
    const std::string what = found == nullptr ? "nothing" : boost::json::serialize(*found);
    mProblems->push_back(mFile + ": field '" + mPrefix + std::string(field) + "': expected "
                         + std::string(expected) + ", found " + what);
}

std::string SettingsReader::text(std::string_view field)
{
    const boost::json::value *found = value(field);
    if (found == nullptr || !found->is_string() || found->as_string().empty()) {
        problem(field, "text", found);
        return {};
    }
    return std::string(found->as_string());
}

std::string SettingsReader::text(std::string_view field, std::string_view standard)
{
    const bool absent = !has(field);
    if (absent) {
        mKnown.insert(std::string(field));
        return std::string(standard);
    }
    return text(field);
}

std::int64_t SettingsReader::integer(std::string_view field, std::int64_t least, std::int64_t most,
                                     std::int64_t standard)
{
    const boost::json::value *found = value(field);
    if (found == nullptr) {
        return standard;
    }
    const bool fits = found->is_int64() && found->as_int64() >= least && found->as_int64() <= most;
    if (!fits) {
        problem(field,
                "a whole number from " + std::to_string(least) + " to " + std::to_string(most),
                found);
        return standard;
    }
    return found->as_int64();
}

double SettingsReader::real(std::string_view field, double least, double most, double standard)
{
    const boost::json::value *found = value(field);
    if (found == nullptr) {
        return standard;
    }
    const double number = found->is_number() ? found->to_number<double>() : least - 1;
    if (number < least || number > most) {
        problem(field, "a number from " + std::to_string(least) + " to " + std::to_string(most),
                found);
        return standard;
    }
    return number;
}

bool SettingsReader::boolean(std::string_view field, bool standard)
{
    const boost::json::value *found = value(field);
    if (found == nullptr) {
        return standard;
    }
    if (!found->is_bool()) {
        problem(field, "true or false", found);
        return standard;
    }
    return found->as_bool();
}

Tcp::endpoint SettingsReader::endpoint(std::string_view field)
{
    const boost::json::value *found = value(field);
    if (found == nullptr || !found->is_string()) {
        problem(field, "IP:PORT", found);
        return {};
    }
    const auto parsed = parseEndpoint(found->as_string());
    if (!parsed) {
        problem(field, "IP:PORT", found);
        return {};
    }
    return *parsed;
}

std::vector<Tcp::endpoint> SettingsReader::endpoints(std::string_view field)
{
    const boost::json::value *found = value(field);
    if (found == nullptr) {
        return {};
    }
    std::vector<Tcp::endpoint> all;
    bool fits = found->is_array();
    if (fits) {
        for (const boost::json::value &item : found->as_array()) {
            const auto parsed = item.is_string()
                ? parseEndpoint(item.as_string())
                : tl::expected<Tcp::endpoint, std::string>(tl::unexpected(std::string()));
            fits = fits && parsed;
            if (parsed) {
                all.push_back(*parsed);
            }
        }
    }
    if (!fits) {
        problem(field, "a list of IP:PORT", found);
    }
    return all;
}

std::map<std::string, std::string, std::less<>> SettingsReader::texts(std::string_view field)
{
    std::map<std::string, std::string, std::less<>> found;
    if (!has(field)) {
        mKnown.insert(std::string(field));
        return found;
    }
    SettingsReader object = child(field);
    for (const auto &pair : *object.mObject) {
        found.emplace(pair.key(), object.text(pair.key()));
    }
    return found;
}

std::string SettingsReader::oneOf(std::string_view field,
                                  std::initializer_list<std::string_view> choices)
{
    const boost::json::value *found = value(field);
    const bool fits = found != nullptr && found->is_string()
        && std::ranges::find(choices, std::string_view(found->as_string())) != choices.end();
    if (fits) {
        return std::string(found->as_string());
    }
    std::string expected = "one of";
    for (const std::string_view choice : choices) {
        expected += " '" + std::string(choice) + "'";
    }
    problem(field, expected, found);
    return {};
}

SettingsReader SettingsReader::child(std::string_view field)
{
    const boost::json::value *found = value(field);
    const boost::json::object *object = found == nullptr ? nullptr : found->if_object();
    if (object == nullptr) {
        problem(field, "an object", found);
        object = &sEmptyObject;
    }
    return {mFile, mPrefix + std::string(field) + ".", *object, *mProblems};
}

void SettingsReader::refuseUnknown()
{
    for (const auto &pair : *mObject) {
        if (!mKnown.contains(pair.key())) {
            problem(pair.key(), "no such field", &pair.value());
        }
    }
}

} // namespace Loom
