/*
 * test_addressselector.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "addressselector.h"

#include <algorithm>
#include <map>
#include <set>

using namespace Loom;

namespace {

using Addresses = std::vector<std::string>;

constexpr FailureTolerance sNoTolerance;

/** Adds @p count gateways of one data centre, whose addresses begin with its name. */
void add(std::vector<GatewayAddress> &gateways, const std::string &dataCentre,
         const std::string &region, std::size_t count,
         GatewayAvailability availability = GatewayAvailability::Healthy)
{
    for (std::size_t index = 0; index < count; ++index) {
        gateways.push_back(
            {dataCentre + "/" + std::to_string(gateways.size()), dataCentre, region, availability});
    }
}

std::vector<GatewayAddress> threeDataCentres()
{
    std::vector<GatewayAddress> gateways;
    add(gateways, "a", "r", 13);
    add(gateways, "b", "r", 12);
    add(gateways, "c", "s", 14);
    return gateways;
}

Addresses choose(std::span<const GatewayAddress> gateways, const CallerLocation &caller,
                 FailureTolerance tolerance = sNoTolerance, std::string_view gatewayKey = "asked")
{
    return AddressSelector(gatewayKey, gateways, tolerance).choose(caller);
}

std::size_t countOf(const Addresses &addresses, std::string_view dataCentre)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(addresses, [&](const std::string &address) {
            return address.starts_with(std::string(dataCentre) + "/");
        }));
}

void setAvailability(std::vector<GatewayAddress> &gateways, std::string_view dataCentre,
                     std::size_t first, std::size_t count, GatewayAvailability availability)
{
    std::size_t index = 0;
    for (GatewayAddress &gateway : gateways) {
        if (gateway.dataCentre != dataCentre) {
            continue;
        }
        if (index >= first && index < first + count) {
            gateway.availability = availability;
        }
        ++index;
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(caller_gets_gateways_of_its_own_data_centre)
{
    const auto gateways = threeDataCentres();
    const std::map<std::string, std::size_t> sizes{{"a", 13}, {"b", 12}, {"c", 14}};
    for (const auto &[dataCentre, size] : sizes) {
        const Addresses addresses = choose(gateways, {dataCentre, ""});
        BOOST_TEST(addresses.size() == size);
        BOOST_TEST(countOf(addresses, dataCentre) == size);
    }
}

BOOST_AUTO_TEST_CASE(caller_at_unknown_location_gets_all_gateways)
{
    const auto gateways = threeDataCentres();
    BOOST_TEST(choose(gateways, {"", ""}).size() == gateways.size());
    BOOST_TEST(choose(gateways, {"elsewhere", "far"}).size() == gateways.size());
}

BOOST_AUTO_TEST_CASE(unavailable_gateways_are_left_out)
{
    auto gateways = threeDataCentres();
    setAvailability(gateways, "a", 0, 5, GatewayAvailability::Unavailable);
    const Addresses addresses = choose(gateways, {"a", "r"});
    BOOST_TEST(addresses.size() == 8);
    BOOST_TEST(countOf(addresses, "a") == 8);
    BOOST_TEST(std::ranges::count(addresses, "a/0") == 0);
}

BOOST_AUTO_TEST_CASE(too_few_local_gateways_fall_back_to_region_then_to_all)
{
    auto gateways = threeDataCentres();
    // Seven gateways are half of the fourteen of the largest data centre, which is enough.
    setAvailability(gateways, "a", 0, 6, GatewayAvailability::Unavailable);
    BOOST_TEST(choose(gateways, {"a", "r"}).size() == 7);
    setAvailability(gateways, "a", 0, 7, GatewayAvailability::Unavailable);
    Addresses addresses = choose(gateways, {"a", "r"});
    BOOST_TEST(countOf(addresses, "a") == 6);
    BOOST_TEST(countOf(addresses, "b") == 12);
    BOOST_TEST(countOf(addresses, "c") == 0);
    // Callers of another data centre in the region still get their local gateways.
    BOOST_TEST(choose(gateways, {"b", "r"}).size() == 12);
    setAvailability(gateways, "b", 0, 12, GatewayAvailability::Unavailable);
    addresses = choose(gateways, {"a", "r"});
    BOOST_TEST(countOf(addresses, "a") == 6);
    BOOST_TEST(countOf(addresses, "c") == 14);
}

// Guards against uneven load with four, two and three gateways: callers of the two smaller
// data centres used all nine, callers of the largest only its four, so that one gateway got
// 231 calls while others got 79.
BOOST_AUTO_TEST_CASE(undersized_data_centre_makes_all_callers_use_all_gateways)
{
    std::vector<GatewayAddress> gateways;
    add(gateways, "a", "r", 4);
    add(gateways, "b", "s", 2);
    add(gateways, "c", "t", 3);
    for (const char *dataCentre : {"a", "b", "c"}) {
        BOOST_TEST(choose(gateways, {dataCentre, ""}).size() == 9);
    }
    add(gateways, "b", "s", 2);
    add(gateways, "c", "t", 1);
    BOOST_TEST(choose(gateways, {"a", "r"}).size() == 4);
    // Unavailable gateways are expected to return, so callers elsewhere still stay local.
    setAvailability(gateways, "b", 0, 3, GatewayAvailability::Unavailable);
    BOOST_TEST(choose(gateways, {"a", "r"}).size() == 4);
}

BOOST_AUTO_TEST_CASE(address_list_survives_loss_of_two_boxes_and_a_restart)
{
    std::vector<GatewayAddress> gateways;
    add(gateways, "a", "r", 4);
    add(gateways, "b", "s", 4);
    BOOST_TEST(choose(gateways, {"a", "r"}).size() == 4);
    setAvailability(gateways, "a", 0, 1, GatewayAvailability::Unavailable);
    const Addresses addresses = choose(gateways, {"a", "r"});
    BOOST_TEST(countOf(addresses, "a") == 3);
    BOOST_TEST(countOf(addresses, "b") == 4);
}

BOOST_AUTO_TEST_CASE(callers_without_local_gateways_get_those_of_their_region)
{
    auto gateways = threeDataCentres();
    const Addresses addresses = choose(gateways, {"d", "s"});
    BOOST_TEST(addresses.size() == 14);
    BOOST_TEST(countOf(addresses, "c") == 14);
    BOOST_TEST(choose({}, {"d", "s"}).empty());
}

BOOST_AUTO_TEST_CASE(unmonitored_gateways_of_a_remote_data_centre_are_returned)
{
    auto gateways = threeDataCentres();
    setAvailability(gateways, "c", 1, 13, GatewayAvailability::Unmonitored);
    // One gateway is healthy, so the records of the others are trusted.
    BOOST_TEST(choose(gateways, {"c", "s"}).size() == 14);
    // No gateway is monitored, so nothing speaks against the records either.
    setAvailability(gateways, "c", 0, 1, GatewayAvailability::Unmonitored);
    BOOST_TEST(choose(gateways, {"c", "s"}).size() == 14);
}

BOOST_AUTO_TEST_CASE(data_centre_without_healthy_monitored_gateway_is_left_out)
{
    auto gateways = threeDataCentres();
    setAvailability(gateways, "c", 0, 2, GatewayAvailability::Unavailable);
    setAvailability(gateways, "c", 2, 12, GatewayAvailability::Unmonitored);
    const Addresses addresses = choose(gateways, {"c", "s"});
    BOOST_TEST(countOf(addresses, "c") == 0);
    BOOST_TEST(addresses.size() == 25);
}

BOOST_AUTO_TEST_CASE(enough_healthy_gateways_exclude_unmonitored_ones)
{
    std::vector<GatewayAddress> gateways;
    add(gateways, "a", "r", 13);
    add(gateways, "a", "r", 17, GatewayAvailability::Unmonitored);
    add(gateways, "b", "s", 30, GatewayAvailability::Unmonitored);
    BOOST_TEST(choose(gateways, {"a", "r"}).size() == 13);
    BOOST_TEST(choose(gateways, {"b", "s"}).size() == 30);
}

BOOST_AUTO_TEST_CASE(answers_hold_at_most_64_addresses_and_spread_evenly)
{
    std::vector<GatewayAddress> gateways;
    add(gateways, "a", "r", 160, GatewayAvailability::Unmonitored);
    std::map<std::string, int> shares;
    constexpr int answers = 200;
    for (int gatewayKey = 0; gatewayKey < answers; ++gatewayKey) {
        const std::string key = "g" + std::to_string(gatewayKey);
        const Addresses addresses = choose(gateways, {"a", "r"}, sNoTolerance, key);
        BOOST_TEST(addresses.size() == 64);
        BOOST_TEST((addresses == choose(gateways, {"a", "r"}, sNoTolerance, key)));
        for (const std::string &address : addresses) {
            ++shares[address];
        }
    }
    BOOST_TEST(shares.size() == 160);
    // The mean is 80 answers for each gateway, with a standard deviation of 7.
    for (const auto &[address, share] : shares) {
        BOOST_TEST(share > 45);
        BOOST_TEST(share < 115);
    }
}

BOOST_AUTO_TEST_CASE(each_tolerated_data_centre_loss_adds_a_remote_fallback)
{
    auto gateways = threeDataCentres();
    Addresses addresses = choose(gateways, {"a", "r"}, {1, 0});
    BOOST_TEST(addresses.size() == 14);
    BOOST_TEST(countOf(addresses, "a") == 13);
    addresses = choose(gateways, {"a", "r"}, {2, 0});
    BOOST_TEST(countOf(addresses, "b") == 1);
    BOOST_TEST(countOf(addresses, "c") == 1);
    // If a region may be lost, the fallback is in another region.
    addresses = choose(gateways, {"a", "r"}, {1, 1});
    BOOST_TEST(countOf(addresses, "b") == 0);
    BOOST_TEST(countOf(addresses, "c") == 1);
    // Healthy gateways are preferred as fallbacks.
    setAvailability(gateways, "c", 1, 13, GatewayAvailability::Unmonitored);
    addresses = choose(gateways, {"a", "r"}, {1, 1});
    BOOST_TEST(std::ranges::count(addresses, "c/25") == 1);
    // Fallbacks count towards the maximum of 64 addresses.
    std::vector<GatewayAddress> many;
    add(many, "a", "r", 80);
    add(many, "b", "s", 80);
    addresses = choose(many, {"a", "r"}, {1, 0});
    BOOST_TEST(countOf(addresses, "a") == 63);
    BOOST_TEST(countOf(addresses, "b") == 1);
}

BOOST_AUTO_TEST_CASE(fallbacks_spread_callers_of_a_lost_data_centre)
{
    const auto gateways = threeDataCentres();
    std::set<std::string> remote;
    for (std::size_t gatewayKey = 0; gatewayKey < 13; ++gatewayKey) {
        for (const std::string &address :
             choose(gateways, {"a", "r"}, {1, 0}, "g" + std::to_string(gatewayKey))) {
            if (!address.starts_with("a/")) {
                remote.insert(address);
            }
        }
    }
    BOOST_TEST(remote.size() >= 6);
}

// Guards against requests that leave their regions already on the way to a gateway.
BOOST_AUTO_TEST_CASE(host_with_regions_gets_gateways_of_these_and_of_the_callers_region)
{
    std::vector<GatewayAddress> gateways;
    add(gateways, "a", "r", 6);
    add(gateways, "b", "s", 6);
    add(gateways, "c", "t", 6);
    const std::vector<std::string> regions{"s"};
    for (const std::uint32_t lost : {0U, 1U, 2U}) {
        const FailureTolerance tolerance{lost, lost};
        for (const CallerLocation &caller :
             {CallerLocation{"a", "r"}, CallerLocation{"b", "s"}, CallerLocation{"", "r"},
              CallerLocation{"elsewhere", "u"}, CallerLocation{"", ""}}) {
            const Addresses found = chooseInRegions("asked", gateways, tolerance, caller, regions);
            BOOST_TEST(!found.empty());
            BOOST_TEST(countOf(found, "c") == 0U);
            if (caller.region != "r") {
                BOOST_TEST(countOf(found, "a") == 0U);
            }
        }
    }
}

// A caller without any gateway would get no answer at all.
BOOST_AUTO_TEST_CASE(host_with_regions_without_a_gateway_gets_the_others)
{
    std::vector<GatewayAddress> gateways;
    add(gateways, "a", "r", 6);
    add(gateways, "b", "s", 6, GatewayAvailability::Unavailable);
    const std::vector<std::string> regions{"s"};
    const CallerLocation caller{"b", "s"};
    const Addresses found = chooseInRegions("asked", gateways, sNoTolerance, caller, regions);
    BOOST_TEST(countOf(found, "a") == 6U);
    BOOST_TEST(chooseInRegions("asked", gateways, sNoTolerance, caller, {}).size() == 6U);
}
