/*
 * ports.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "feedtable.h"
#include "http.h"
#include "httplink.h"
#include "manifest.h"
#include "noticestate.h"
#include "replicaset.h"
#include "routetable.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Loom {

/**
 * What the product asks of a platform. Everything that knows a platform's
 * names implements these; everything else knows only them.
 */

/** Sets of keyed records in the platform's store. */
enum class Feed : std::uint8_t
{
    Operators, ///< configurations and named weights
    Replicas, ///< what replicas say of themselves
    Members, ///< the system's own processes, and what they keep
};
inline constexpr std::size_t sFeedCount = 3;
/** Keys of Feed::Members that hold no process, but a request that is refused. */
inline constexpr std::string_view sQuarantineKeys = "quarantine/";
std::string_view feedName(Feed feed);

enum class StoreError : std::uint8_t
{
    Unreachable, ///< no answer; a write may have been done
    Refused, ///< nothing was done; later it may be
    Forgotten, ///< the records asked for are not kept any more
    Malformed, ///< an answer that cannot be read
};
std::string_view storeErrorName(StoreError error);

struct FeedBatch
{
    std::vector<FeedRecord> records;
    std::uint64_t next = 0; ///< offset behind the records
    bool hasMore = false; ///< the store held more, which the next read gives
    std::uint64_t bytes = 0; ///< of the store's answers
};

/** The platform's store. */
class StorePort
{
public:
    virtual ~StorePort() = default;
    /** Records from @p from on, waiting up to @p wait for a first one. */
    virtual awaitable<tl::expected<FeedBatch, StoreError>> read(Feed feed, std::uint64_t from,
                                                                Milliseconds wait)
        = 0;
    /** The newest record of every key; next is the end before the first page. */
    virtual awaitable<tl::expected<FeedBatch, StoreError>> newest(Feed feed) = 0;
    /** Writes a record of Feed::Members; without a value it takes the key away. */
    virtual awaitable<tl::expected<void, StoreError>> put(std::string key,
                                                          std::optional<std::string> value)
        = 0;
};

/** Weights that operators named for a model. */
struct NamedWeights
{
    std::string model;
    std::uint64_t version = 0;
};
struct UnrelatedRecord
{
};
using OperatorRecord = std::variant<RouteConfig, NamedWeights, UnrelatedRecord>;

/** Reads the platform's records. Errors name the field. */
class RecordPort
{
public:
    virtual ~RecordPort() = default;
    virtual tl::expected<OperatorRecord, std::string>
    operatorRecord(std::string_view key, std::string_view value) const = 0;
    virtual tl::expected<ReplicaRecord, std::string>
    replicaRecord(std::string_view key, std::string_view value) const = 0;
};

/** What a caller's request says of itself. */
struct CallerFields
{
    std::string id; ///< of this try; empty: none, or more than one
    std::string host;
    std::string key; ///< of a client account; empty: none
    std::optional<Milliseconds> deadline; ///< how long the caller waits
    std::optional<std::uint64_t> lastEvent; ///< the caller resumes a stream behind this one
    std::string model;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
};

/** Which of the requests that wait at a replica it takes first. */
enum class Urgency : std::uint8_t
{
    Resumed, ///< the rest of an answer that the caller has begun to read
    Prompt,
    Patient, ///< its goal is missed already
};

/** What the system adds to a request on its way to a replica. */
struct OutgoingFields
{
    Milliseconds deadline{0};
    std::string replicaId;
    std::string account; ///< empty: none
    std::optional<std::uint64_t> lastEvent;
    std::optional<std::uint64_t> weightsVersion; ///< the only one that may run it
    std::optional<Urgency> urgency; ///< order in the replica's queue; nothing: it has none
};

/** The answer names no limit. */
struct NoRate
{
    bool operator==(const NoRate &) const = default;
};
/** The answer names a limit that cannot be read. */
struct UnreadableRate
{
    bool operator==(const UnreadableRate &) const = default;
};
/** Requests a second that the replica takes from all gateways together. */
struct RatePerSecond
{
    double value = 0;
    bool operator==(const RatePerSecond &) const = default;
};
/** What an answer says of the rate at which its replica takes requests. */
using AdvertisedRate = std::variant<NoRate, UnreadableRate, RatePerSecond>;

/** What a replica's answer says of itself. */
struct ResponseFields
{
    std::string requestId;
    std::string replicaId; ///< which replica answered; empty: it does not say
    bool isSigned = false;
    bool isNotRun = false; ///< the replica says that it did not run the request
    bool isStream = false;
    AdvertisedRate rate;
    ReplicaNotice notice;
};

/** A caller's question where to connect. */
struct AddressQuery
{
    std::string dataCentre;
    std::string region;
};

/** The requests of callers and the answers of replicas, by header. */
class CallPort
{
public:
    virtual ~CallPort() = default;
    virtual CallerFields callerFields(const HttpRequest &request) const = 0;
    virtual std::vector<HttpHeader> outgoing(const HttpRequest &request,
                                             const OutgoingFields &fields) const = 0;
    virtual ResponseFields responseFields(const LinkHead &head) const = 0;
    /** The headers of a replica's answer that a caller gets: none that speak to the gateway. */
    virtual std::vector<HttpHeader> responseHeaders(const LinkHead &head) const = 0;
    /** Says when to come back. */
    virtual HttpHeader comeBack(Milliseconds after) const = 0;

    virtual bool isReadinessCheck(const HttpRequest &request) const = 0;
    virtual std::optional<AddressQuery> addressQuery(const HttpRequest &request) const = 0;
    virtual HttpResponse addressResponse(std::span<const std::string> addresses,
                                         Milliseconds lifetime) const = 0;
};

/** The weights that an engine has loaded. */
struct LoadedWeights
{
    std::string model;
    std::uint64_t version = 0;
    bool isWhole = false; ///< every layer, of this one version
};

/** What an engine says of itself. */
struct EngineReport
{
    std::vector<LoadedWeights> loaded;
    std::uint64_t born = 0; ///< when it started, as it says; zero: untold
    bool isBusy = false; ///< an order is under way
    std::uint64_t acceptedOrderCount = 0; ///< since its start
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t memoryUsed = 0;
    std::uint64_t memoryTotal = 0;
    double pace = 1;
};

enum class OrderResult : std::uint8_t
{
    Begun,
    AlreadyDone,
    Refused, ///< it does not fit the engine's state
    Unknown, ///< no answer: it may have been taken
};

/** The engine beside an agent, and the origin of weights. */
class EnginePort
{
public:
    virtual ~EnginePort() = default;
    virtual awaitable<std::optional<EngineReport>> report(std::uint32_t layers) = 0;
    /**
     * Orders the engine to load what is staged, once all that runs has ended; it takes nothing
     * new until then. @p acceptedOrderCount: of the last report.
     */
    virtual awaitable<OrderResult> load(std::string model, std::uint64_t version,
                                        std::uint64_t acceptedOrderCount)
        = 0;
    virtual awaitable<bool> stagePut(std::string model, std::uint32_t index, std::string data) = 0;
    /** Nothing where the stage does not hold the piece, or cannot be asked. */
    virtual awaitable<std::optional<std::string>> stageGet(std::string model, std::uint32_t index)
        = 0;
    virtual awaitable<tl::expected<Manifest, std::string>>
    manifest(Tcp::endpoint origin, std::string model, std::uint64_t version) = 0;
    virtual awaitable<std::optional<std::string>> piece(Tcp::endpoint origin, std::string model,
                                                        std::uint64_t version, std::uint32_t index)
        = 0;
};

/** All of a platform. Owned by main(). */
struct PlatformPorts
{
    std::unique_ptr<StorePort> store;
    std::unique_ptr<RecordPort> records;
    std::unique_ptr<CallPort> calls;
    std::unique_ptr<EnginePort> engine; ///< null for a gateway
};

} // namespace Loom
