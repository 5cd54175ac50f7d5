/*
 * test_loopwatch.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/test/unit_test.hpp>

#include "clock.h"
#include "loopwatch.h"
#include "metrics.h"

#include <ctime>
#include <functional>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

using namespace Loom;

namespace {

constexpr std::chrono::milliseconds sBlocked{400};
// The watch may count up to one of its looks less than the loop was blocked.
constexpr Milliseconds sSeenAtLeast{300};
constexpr std::chrono::seconds sGenerous{20};

void waitWithoutWork()
{
    std::this_thread::sleep_for(sBlocked);
}

Microseconds processorTime()
{
    timespec time{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return std::chrono::duration_cast<Microseconds>(std::chrono::seconds(time.tv_sec)
                                                    + std::chrono::nanoseconds(time.tv_nsec));
}

void work()
{
    const Microseconds until = processorTime() + sBlocked;
    while (processorTime() < until) { }
}

/** A loop with a watch on it. */
class WatchLab
{
public:
    WatchLab() { mKernel.add(std::make_unique<LoopWatch>(metrics)); }

    /** What the watch says of @p block on the loop, whose time was spent @p in. */
    LoopStall stallOf(std::string_view in, std::function<void()> block)
    {
        BOOST_REQUIRE(mKernel.start().has_value());
        const LoopWatch &watch = mKernel.find<LoopWatch>(LoopWatch::sName);
        const auto test = [&]() -> awaitable<void> {
            const auto until = std::chrono::steady_clock::now() + sGenerous;
            // A busy machine may make the loop stand still by itself just after.
            while (!isExpected(in) && std::chrono::steady_clock::now() < until) {
                co_await sleepFor(std::chrono::milliseconds(10));
                block();
                co_await sleepFor(std::chrono::milliseconds(120)); // two looks
                mStall = watch.lastStall().value_or(LoopStall());
            }
            mKernel.stop();
            mContext.stop();
        };
        asio::co_spawn(mContext, test(), asio::detached);
        mContext.run();
        BOOST_TEST(mStall.in == in);
        BOOST_TEST((mStall.late >= sSeenAtLeast));
        return mStall;
    }

    Metrics metrics;

private:
    bool isExpected(std::string_view in) const
    {
        return mStall.late >= sSeenAtLeast && mStall.in == in;
    }

    asio::io_context mContext{1};
    Kernel mKernel{mContext.get_executor()};
    LoopStall mStall;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_loop_that_waits_is_seen_with_the_name_of_the_step_and_little_processor_time)
{
    WatchLab lab;
    const LoopStall stall = lab.stallOf("waiting in a test", [] {
        const LoopStep step("waiting in a test");
        waitWithoutWork();
    });
    BOOST_TEST((stall.processorTime < sSeenAtLeast));
    BOOST_TEST(lab.metrics.counter("loop_stood_still", "waiting in a test") >= 1U);
    BOOST_TEST(lab.metrics.text().find("loom_loop_late_ms{quantile=\"0.99\"}")
               != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_loop_that_works_is_seen_with_its_processor_time)
{
    WatchLab lab;
    const LoopStall stall = lab.stallOf("working in a test", [] {
        const LoopStep step("working in a test");
        work();
    });
    BOOST_TEST((stall.processorTime >= sSeenAtLeast));
}

BOOST_AUTO_TEST_CASE(a_step_that_nobody_named_is_unknown)
{
    WatchLab lab;
    lab.stallOf("", [] {
        { // far too short to be the cause
            const LoopStep step("short");
        }
        waitWithoutWork();
    });
}

BOOST_AUTO_TEST_CASE(the_step_within_another_is_named_where_it_took_the_time)
{
    WatchLab lab;
    lab.stallOf("inner", [] {
        const LoopStep outer("outer");
        const LoopStep inner("inner");
        waitWithoutWork();
    });
}
