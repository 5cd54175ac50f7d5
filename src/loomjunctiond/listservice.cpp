/*
 * listservice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomjunctiond).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "listservice.h"

#include "jsonhttp.h"
#include "platformservice.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

constexpr std::chrono::milliseconds sWait{5'000};
constexpr std::chrono::milliseconds sGrace{2'000};
constexpr std::chrono::milliseconds sRetry{500};

ListedBox toListed(const boost::json::object &object)
{
    ListedBox box;
    box.box = jsonText(object, "box");
    box.dataCentre = jsonText(object, "dataCentre");
    box.region = jsonText(object, "region");
    box.service = jsonText(object, "service");
    box.isEntry = jsonText(object, "role") == "entry";
    box.isLeaving = jsonText(object, "state") == "leaving";
    box.peers = parseEndpoint(jsonText(object, "peers")).value_or(Tcp::endpoint());
    box.callers = parseEndpoint(jsonText(object, "callers")).value_or(Tcp::endpoint());
    return box;
}

} // namespace

tl::expected<void, std::string> ListService::start(Kernel &kernel)
{
    mPlatform = &kernel.find<PlatformService>(PlatformService::sName);
    asio::co_spawn(kernel.executor(), follow(), asio::detached);
    return {};
}

awaitable<void> ListService::follow()
{
    while (!mStopped) {
        HttpCall call;
        call.endpoint = mPlatform->settings().list;
        call.method = "GET";
        call.target = "/boxes?since=" + std::to_string(mVersion)
            + "&waitMs=" + std::to_string(sWait.count());
        call.timeout = sWait + sGrace;
        const auto response = co_await mPlatform->http().send(std::move(call));
        if (!response || response->status != 200) {
            // The last list stands: a list that is down says nothing about the boxes.
            mPlatform->metrics().count("list_failures");
            co_await sleepFor(sRetry);
            continue;
        }
        const boost::json::object body = jsonObject(response->body);
        const boost::json::value *boxes = body.if_contains("boxes");
        mVersion = static_cast<std::uint64_t>(jsonInteger(body, "version", 0));
        if (boxes == nullptr || !boxes->is_array()) {
            continue;
        }
        mBoxes.clear();
        for (const boost::json::value &item : boxes->as_array()) {
            if (const boost::json::object *object = item.if_object()) {
                mBoxes.push_back(toListed(*object));
            }
        }
        for (const auto &listener : mListeners) {
            listener();
        }
    }
}

const ListedBox *ListService::find(std::string_view box) const
{
    const auto it = std::ranges::find(mBoxes, box, &ListedBox::box);
    return it == mBoxes.end() ? nullptr : &*it;
}

std::vector<ListedBox> ListService::entries() const
{
    std::vector<ListedBox> found;
    std::ranges::copy_if(mBoxes, std::back_inserter(found),
                         [](const ListedBox &box) { return box.isEntry && !box.isLeaving; });
    return found;
}

} // namespace Loom
