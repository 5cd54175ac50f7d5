/*
 * test_sizeshares.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "sizeshares.h"

#include <random>

using namespace Loom;

namespace {

constexpr SizeShares::Group sLarge{Milliseconds(400), SizeBand::UpToFour};

/** Offers places to requests of a group that fit with a probability, and counts. */
struct Offers
{
    SizeShares shares;
    std::mt19937_64 random{1};
    int offered = 0;
    int taken = 0;
    int late = 0;

    void offer(int count, double fitting, double admitted)
    {
        for (int index = 0; index < count; ++index) {
            const bool fits = std::bernoulli_distribution(fitting)(random);
            const bool isLate = !fits && shares.isDue(sLarge, admitted);
            shares.noteOffer(sLarge, admitted, fits || isLate);
            ++offered;
            taken += fits || isLate ? 1 : 0;
            late += isLate ? 1 : 0;
        }
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(required_fraction_serves_requests_with_two_attempts_nearly_as_often)
{
    for (const double admitted : {0.05, 0.2, 0.5, 0.8, 1.0}) {
        const double fraction = SizeShares::requiredFraction(admitted);
        const auto served = [](double attempt) { return 1 - (1 - attempt) * (1 - attempt); };
        BOOST_TEST(served(fraction * admitted) / served(admitted) == 0.92,
                   boost::test_tools::tolerance(1e-9));
        BOOST_TEST(fraction > 0.7);
        BOOST_TEST(fraction < 1);
    }
    // The ratio is bounded where nearly nothing is admitted.
    BOOST_TEST(SizeShares::requiredFraction(0) == SizeShares::requiredFraction(0.05));
}

BOOST_AUTO_TEST_CASE(group_that_never_fits_takes_the_required_fraction_of_its_places)
{
    for (const double admitted : {0.1, 0.5, 1.0}) {
        Offers offers;
        offers.offer(1'000, 0, admitted);
        const double required = SizeShares::requiredFraction(admitted) * 1'000;
        BOOST_TEST(offers.taken >= required - 1);
        BOOST_TEST(offers.taken <= required + 1);
    }
}

BOOST_AUTO_TEST_CASE(group_that_fits_often_enough_takes_few_places_late)
{
    Offers offers;
    offers.offer(10'000, 0.95, 0.8);
    BOOST_TEST(offers.late < 0.03 * offers.offered);
}

// Guards against a group that is passed over for long, because it took all of its places before.
BOOST_AUTO_TEST_CASE(places_taken_before_a_burst_do_not_count_against_a_group)
{
    Offers offers;
    offers.offer(1'000, 1, 0.9);
    offers.taken = 0;
    offers.offer(10, 0, 0.3);
    BOOST_TEST(offers.taken >= 7);
}

BOOST_AUTO_TEST_CASE(groups_are_independent)
{
    SizeShares shares;
    for (int count = 0; count < 10; ++count) {
        shares.noteOffer(sLarge, 0.5, true);
    }
    BOOST_TEST(!shares.isDue(sLarge, 0.5));
    BOOST_TEST(shares.isDue({Milliseconds(500), SizeBand::UpToFour}, 0.5));
    BOOST_TEST(shares.isDue({Milliseconds(400), SizeBand::UpToSix}, 0.5));
}

BOOST_AUTO_TEST_CASE(requests_up_to_the_mean_size_are_never_due)
{
    SizeShares shares;
    for (const SizeBand band : {SizeBand::Unknown, SizeBand::UpToMean}) {
        const SizeShares::Group group{Milliseconds(400), band};
        shares.noteOffer(group, 0.1, false);
        shares.noteOffer(group, 0.1, false);
        BOOST_TEST(!shares.isDue(group, 0.1));
    }
}

BOOST_AUTO_TEST_CASE(bands_include_their_upper_edge)
{
    BOOST_TEST((sizeBand(0, 1'000) == SizeBand::Unknown));
    BOOST_TEST((sizeBand(10, 0) == SizeBand::Unknown));
    BOOST_TEST((sizeBand(1'000, 1'000) == SizeBand::UpToMean));
    BOOST_TEST((sizeBand(1'001, 1'000) == SizeBand::UpToOneAndAHalf));
    BOOST_TEST((sizeBand(4'000, 1'000) == SizeBand::UpToFour));
    BOOST_TEST((sizeBand(6'001, 1'000) == SizeBand::Larger));
    BOOST_TEST(sizeBandName(SizeBand::UpToSix) == "up to 6");
    BOOST_TEST(sizeBandName(SizeBand::Larger) == "over 6");
    BOOST_TEST(sizeBandName(SizeBand::Unknown) == "unknown");
}
