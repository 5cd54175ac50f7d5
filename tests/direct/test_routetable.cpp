/*
 * test_routetable.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "routetable.h"

using namespace Loom;

namespace {

Route route(std::string name, std::string host, std::string prefix)
{
    Route route;
    route.name = std::move(name);
    route.host = std::move(host);
    route.pathPrefix = std::move(prefix);
    return route;
}

RouteTable table()
{
    RouteConfig config;
    config.version = 3;
    config.routes = {route("all", "a.example", "/"), route("deep", "a.example", "/x/y/"),
                     route("shallow", "a.example", "/x/"), route("other", "b.example", "/x/")};
    config.accounts = {{"exams", {"k1", "k2"}, 1}};
    return RouteTable(std::move(config));
}

} // namespace

BOOST_AUTO_TEST_CASE(longest_matching_prefix_of_the_host_wins)
{
    const RouteTable routes = table();
    BOOST_TEST(routes.match("a.example", "/x/y/z")->name == "deep");
    BOOST_TEST(routes.match("a.example", "/x/y")->name == "shallow");
    BOOST_TEST(routes.match("a.example", "/xy")->name == "all");
    BOOST_TEST(routes.match("b.example", "/x/y/z")->name == "other");
    BOOST_TEST(routes.match("b.example", "/y/") == nullptr);
    BOOST_TEST(routes.match("c.example", "/x/") == nullptr);
    BOOST_TEST(routes.match("a.example", "*") == nullptr);
}

BOOST_AUTO_TEST_CASE(key_maps_to_its_account)
{
    const RouteTable routes = table();
    BOOST_TEST(routes.accountForKey("k2")->name == "exams");
    BOOST_TEST(routes.accountForKey("k3") == nullptr);
}

BOOST_AUTO_TEST_CASE(targets_are_picked_by_weight)
{
    Route split;
    split.targets = {{"old", 90}, {"new", 10}};
    int newCount = 0;
    for (std::uint64_t random = 0; random < 1000; ++random) {
        newCount += pickTarget(split, random)->service == "new" ? 1 : 0;
    }
    BOOST_TEST(newCount == 100);
    split.targets = {{"only", 0}};
    BOOST_TEST(pickTarget(split, 5)->service == "only");
    split.targets.clear();
    BOOST_TEST(pickTarget(split, 5) == nullptr);
}

BOOST_AUTO_TEST_CASE(regions_of_a_host_are_those_that_all_its_restricted_routes_allow)
{
    RouteConfig config;
    config.routes.resize(4);
    for (Route &route : config.routes) {
        route.host = "h";
    }
    config.routes[0].pathPrefix = "/a/";
    config.routes[0].allowedRegions = {"west", "east"};
    config.routes[1].pathPrefix = "/b/";
    config.routes[2].pathPrefix = "/c/";
    config.routes[2].allowedRegions = {"east", "north"};
    config.routes[3].host = "free";
    const RouteTable table(config);
    BOOST_TEST(table.hasAllowedRegions());
    BOOST_REQUIRE(table.regionsForHost("h") != nullptr);
    BOOST_TEST(*table.regionsForHost("h") == std::vector<std::string>{"east"});
    BOOST_TEST(table.regionsForHost("free") == nullptr);
    BOOST_TEST(table.regionsForHost("unknown") == nullptr);
    RouteConfig accountOnly;
    BOOST_TEST(!RouteTable(accountOnly).hasAllowedRegions());
    accountOnly.accounts.push_back({"t", {"k"}, 5, {"east"}});
    BOOST_TEST(RouteTable(accountOnly).hasAllowedRegions());
}
