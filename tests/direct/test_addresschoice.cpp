/*
 * test_addresschoice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "addresschoice.h"

#include <algorithm>
#include <map>
#include <set>

using namespace Loom;

namespace {

using Addresses = std::vector<std::string>;

constexpr LossBounds sNoLosses;

/** So many gateways of one data centre, named after it. */
void add(std::vector<AddressPlace> &places, const std::string &dataCentre,
         const std::string &region, std::size_t count,
         GatewayStanding standing = GatewayStanding::Heard)
{
    for (std::size_t index = 0; index < count; ++index) {
        places.push_back(
            {dataCentre + "/" + std::to_string(places.size()), dataCentre, region, standing});
    }
}

std::vector<AddressPlace> threeDataCentres()
{
    std::vector<AddressPlace> places;
    add(places, "a", "r", 13);
    add(places, "b", "r", 12);
    add(places, "c", "s", 14);
    return places;
}

Addresses choose(std::span<const AddressPlace> places, const CallerPlace &caller,
                 LossBounds losses = sNoLosses, std::string_view asked = "asked")
{
    return AddressChoice(asked, places, losses).choose(caller);
}

std::size_t countOf(const Addresses &addresses, std::string_view dataCentre)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(addresses, [&](const std::string &address) {
            return address.starts_with(std::string(dataCentre) + "/");
        }));
}

void setStanding(std::vector<AddressPlace> &places, std::string_view dataCentre, std::size_t first,
                 std::size_t count, GatewayStanding standing)
{
    std::size_t index = 0;
    for (AddressPlace &place : places) {
        if (place.dataCentre != dataCentre) {
            continue;
        }
        if (index >= first && index < first + count) {
            place.standing = standing;
        }
        ++index;
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(a_caller_is_told_the_gateways_of_its_own_data_centre)
{
    const auto places = threeDataCentres();
    const std::map<std::string, std::size_t> sizes{{"a", 13}, {"b", 12}, {"c", 14}};
    for (const auto &[dataCentre, size] : sizes) {
        const Addresses told = choose(places, {dataCentre, ""});
        BOOST_TEST(told.size() == size);
        BOOST_TEST(countOf(told, dataCentre) == size);
    }
}

BOOST_AUTO_TEST_CASE(a_caller_of_an_unknown_place_is_told_all)
{
    const auto places = threeDataCentres();
    BOOST_TEST(choose(places, {"", ""}).size() == places.size());
    BOOST_TEST(choose(places, {"elsewhere", "far"}).size() == places.size());
}

BOOST_AUTO_TEST_CASE(gateways_that_are_silent_or_leave_are_not_told)
{
    auto places = threeDataCentres();
    setStanding(places, "a", 0, 5, GatewayStanding::Out);
    const Addresses told = choose(places, {"a", "r"});
    BOOST_TEST(told.size() == 8);
    BOOST_TEST(countOf(told, "a") == 8);
    BOOST_TEST(std::ranges::count(told, "a/0") == 0);
}

BOOST_AUTO_TEST_CASE(too_few_near_gateways_are_joined_by_those_of_the_region_then_by_all)
{
    auto places = threeDataCentres();
    // With seven of the largest's fourteen a data centre still serves its own callers.
    setStanding(places, "a", 0, 6, GatewayStanding::Out);
    BOOST_TEST(choose(places, {"a", "r"}).size() == 7);
    setStanding(places, "a", 0, 7, GatewayStanding::Out);
    Addresses told = choose(places, {"a", "r"});
    BOOST_TEST(countOf(told, "a") == 6);
    BOOST_TEST(countOf(told, "b") == 12);
    BOOST_TEST(countOf(told, "c") == 0);
    // The callers beside it stay where they are.
    BOOST_TEST(choose(places, {"b", "r"}).size() == 12);
    setStanding(places, "b", 0, 12, GatewayStanding::Out);
    told = choose(places, {"a", "r"});
    BOOST_TEST(countOf(told, "a") == 6);
    BOOST_TEST(countOf(told, "c") == 14);
}

// Four, two and three gateways: the callers of the two and the three used all nine, those
// of the four only these, so that one gateway got 231 calls while others got 79.
BOOST_AUTO_TEST_CASE(where_a_data_centre_has_too_few_for_good_the_others_share_theirs)
{
    std::vector<AddressPlace> places;
    add(places, "a", "r", 4);
    add(places, "b", "s", 2);
    add(places, "c", "t", 3);
    for (const char *dataCentre : {"a", "b", "c"}) {
        BOOST_TEST(choose(places, {dataCentre, ""}).size() == 9);
    }
    add(places, "b", "s", 2);
    add(places, "c", "t", 1);
    BOOST_TEST(choose(places, {"a", "r"}).size() == 4);
    // One that is away comes back; the callers of the others stay where they are.
    setStanding(places, "b", 0, 3, GatewayStanding::Out);
    BOOST_TEST(choose(places, {"a", "r"}).size() == 4);
}

BOOST_AUTO_TEST_CASE(a_list_outlives_the_loss_of_two_boxes_and_a_restart)
{
    std::vector<AddressPlace> places;
    add(places, "a", "r", 4);
    add(places, "b", "s", 4);
    BOOST_TEST(choose(places, {"a", "r"}).size() == 4);
    setStanding(places, "a", 0, 1, GatewayStanding::Out);
    const Addresses told = choose(places, {"a", "r"});
    BOOST_TEST(countOf(told, "a") == 3);
    BOOST_TEST(countOf(told, "b") == 4);
}

BOOST_AUTO_TEST_CASE(a_data_centre_without_gateways_has_its_callers_served_in_its_region)
{
    auto places = threeDataCentres();
    const Addresses told = choose(places, {"d", "s"});
    BOOST_TEST(told.size() == 14);
    BOOST_TEST(countOf(told, "c") == 14);
    BOOST_TEST(choose({}, {"d", "s"}).empty());
}

BOOST_AUTO_TEST_CASE(a_far_gateway_names_those_it_does_not_listen_to)
{
    auto places = threeDataCentres();
    setStanding(places, "c", 1, 13, GatewayStanding::Unheard);
    // One is heard, so the others' records count.
    BOOST_TEST(choose(places, {"c", "s"}).size() == 14);
    // None is listened to: the same.
    setStanding(places, "c", 0, 1, GatewayStanding::Unheard);
    BOOST_TEST(choose(places, {"c", "s"}).size() == 14);
}

BOOST_AUTO_TEST_CASE(a_data_centre_of_which_none_is_heard_any_more_is_not_told)
{
    auto places = threeDataCentres();
    setStanding(places, "c", 0, 2, GatewayStanding::Out);
    setStanding(places, "c", 2, 12, GatewayStanding::Unheard);
    const Addresses told = choose(places, {"c", "s"});
    BOOST_TEST(countOf(told, "c") == 0);
    BOOST_TEST(told.size() == 25);
}

BOOST_AUTO_TEST_CASE(where_enough_are_heard_the_others_are_left_out)
{
    std::vector<AddressPlace> places;
    add(places, "a", "r", 13);
    add(places, "a", "r", 17, GatewayStanding::Unheard);
    add(places, "b", "s", 30, GatewayStanding::Unheard);
    BOOST_TEST(choose(places, {"a", "r"}).size() == 13);
    BOOST_TEST(choose(places, {"b", "s"}).size() == 30);
}

BOOST_AUTO_TEST_CASE(an_answer_holds_at_most_64_and_those_of_many_gateways_hold_all_alike)
{
    std::vector<AddressPlace> places;
    add(places, "a", "r", 160, GatewayStanding::Unheard);
    std::map<std::string, int> shares;
    constexpr int answers = 200;
    for (int asked = 0; asked < answers; ++asked) {
        const std::string key = "g" + std::to_string(asked);
        const Addresses told = choose(places, {"a", "r"}, sNoLosses, key);
        BOOST_TEST(told.size() == 64);
        BOOST_TEST((told == choose(places, {"a", "r"}, sNoLosses, key)));
        for (const std::string &address : told) {
            ++shares[address];
        }
    }
    BOOST_TEST(shares.size() == 160);
    // 80 each in the mean, with a deviation of 7.
    for (const auto &[address, share] : shares) {
        BOOST_TEST(share > 45);
        BOOST_TEST(share < 115);
    }
}

BOOST_AUTO_TEST_CASE(there_is_a_far_address_for_each_data_centre_that_may_be_lost)
{
    auto places = threeDataCentres();
    Addresses told = choose(places, {"a", "r"}, {1, 0});
    BOOST_TEST(told.size() == 14);
    BOOST_TEST(countOf(told, "a") == 13);
    told = choose(places, {"a", "r"}, {2, 0});
    BOOST_TEST(countOf(told, "b") == 1);
    BOOST_TEST(countOf(told, "c") == 1);
    // Of another region where one may be lost.
    told = choose(places, {"a", "r"}, {1, 1});
    BOOST_TEST(countOf(told, "b") == 0);
    BOOST_TEST(countOf(told, "c") == 1);
    // One that is heard, if there is any.
    setStanding(places, "c", 1, 13, GatewayStanding::Unheard);
    told = choose(places, {"a", "r"}, {1, 1});
    BOOST_TEST(std::ranges::count(told, "c/25") == 1);
    // Within the most that an answer holds.
    std::vector<AddressPlace> many;
    add(many, "a", "r", 80);
    add(many, "b", "s", 80);
    told = choose(many, {"a", "r"}, {1, 0});
    BOOST_TEST(countOf(told, "a") == 63);
    BOOST_TEST(countOf(told, "b") == 1);
}

BOOST_AUTO_TEST_CASE(the_callers_of_a_lost_data_centre_spread_over_the_others)
{
    const auto places = threeDataCentres();
    std::set<std::string> far;
    for (std::size_t asked = 0; asked < 13; ++asked) {
        for (const std::string &address :
             choose(places, {"a", "r"}, {1, 0}, "g" + std::to_string(asked))) {
            if (!address.starts_with("a/")) {
                far.insert(address);
            }
        }
    }
    BOOST_TEST(far.size() >= 6);
}
