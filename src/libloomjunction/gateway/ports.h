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
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Loom {

/**
 * Interfaces between the product and a platform. Code that depends on the names
 * of one platform implements them; all other code uses only the interfaces.
 */

/** A log of keyed records in the platform's store. */
enum class Feed : std::uint8_t
{
    Operators, ///< configurations and named weights
    Replicas, ///< state that replicas publish about themselves
    Members, ///< the system's own processes, and records that they store
};
inline constexpr std::size_t sFeedCount = 3;
/** Prefix of the keys of Feed::Members that hold a quarantined subject, not a process. */
inline constexpr std::string_view sQuarantineKeys = "quarantine/";
/** The same for times of versions; the key of the process that wrote them follows. */
inline constexpr std::string_view sVersionTimeKeys = "version-times/";
std::string_view feedName(Feed feed);

enum class StoreError : std::uint8_t
{
    Unreachable, ///< no response; a write may have been applied
    Refused, ///< rejected without effect; a retry may succeed
    Forgotten, ///< the store no longer retains the requested records
    Malformed, ///< the response cannot be parsed
    Restored, ///< the store returned from a copy between the pages of a full read
};
std::string_view storeErrorName(StoreError error);

struct FeedBatch
{
    std::vector<FeedRecord> records;
    std::uint64_t next = 0; ///< offset after the last record
    std::uint64_t era = 0; ///< of the store, see LogPosition; of all records, too
    bool hasMore = false; ///< the store holds more records, which the next read returns
    std::uint64_t bytes = 0; ///< size of the store's responses
};

/** The platform's store. */
class StorePort
{
public:
    virtual ~StorePort() = default;
    /**
     * Reads records from offset @p from on; waits up to @p wait for the first one. If the batch
     * has another era than @p from, its records are of no use, because offsets of different eras
     * can't be compared.
     */
    virtual awaitable<tl::expected<FeedBatch, StoreError>> read(Feed feed, std::uint64_t from,
                                                                Milliseconds wait)
        = 0;
    /**
     * Reads the newest record of every key. FeedBatch::next is the end offset of the feed
     * before the first page was read.
     */
    virtual awaitable<tl::expected<FeedBatch, StoreError>> newest(Feed feed) = 0;
    /** Writes a record of Feed::Members; removes the key if there is no value. */
    virtual awaitable<tl::expected<void, StoreError>> put(std::string key,
                                                          std::optional<std::string> value)
        = 0;
    /** Highest era in a response so far, of any feed and also of failed calls; zero: none. */
    virtual std::uint64_t era() const = 0;
    /** Calls @p listener whenever era() has risen. */
    virtual void setEraListener(std::function<void()> listener) = 0;
    /** Lets a read() of @p feed that is under way fail. */
    virtual void cancelRead(Feed feed) = 0;
};

/** Version of the weights that operators chose for a model. */
struct NamedWeights
{
    std::string model;
    std::uint64_t version = 0;
};
/** Operators want no requests to be sent to replicas in a data centre. */
struct Evacuation
{
    std::string dataCentre;
};
struct UnrelatedRecord
{
};
using OperatorRecord = std::variant<RouteConfig, NamedWeights, Evacuation, UnrelatedRecord>;

/** Parses the platform's records. Error messages name the field. */
class RecordPort
{
public:
    virtual ~RecordPort() = default;
    virtual tl::expected<OperatorRecord, std::string>
    operatorRecord(std::string_view key, std::string_view value) const = 0;
    virtual tl::expected<ReplicaRecord, std::string>
    replicaRecord(std::string_view key, std::string_view value) const = 0;
};

/** Fields of a caller's request. */
struct CallerFields
{
    std::string id; ///< of this attempt; empty if missing or given more than once
    std::string host;
    std::string key; ///< of a client account; empty if missing
    std::optional<Milliseconds> deadline; ///< time that the caller waits for the answer
    std::optional<std::uint64_t> lastEvent; ///< the caller resumes a stream after this event
    std::string model;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    /** Ids of the parts of the prompt that other requests may share, in order of the prompt. */
    std::vector<std::string> sharedParts;
    bool hasUnreadableParts = false; ///< a list of parts was given that cannot be parsed
};

/** Order of requests in the queue of a replica, most urgent first. */
enum class Urgency : std::uint8_t
{
    Resumed, ///< continues an answer that the caller has partly received
    Prompt,
    Patient, ///< has already missed its latency goal
};

/** Fields that a gateway adds to a request to a replica. */
struct OutgoingFields
{
    Milliseconds deadline{0};
    std::string replicaId;
    std::string account; ///< client account; empty if there is none
    std::optional<std::uint64_t> lastEvent;
    std::optional<std::uint64_t> weightsVersion; ///< only this version may run the request
    std::optional<Urgency> urgency; ///< nothing if the request has no urgency
    /** Order of the requests with the urgency Prompt, see UrgencyDemand::urgencyLevel(). */
    std::uint8_t urgencyLevel = UrgencyDemand::sDefaultLevel;
};

/** The response states no limit. */
struct NoRate
{
    bool operator==(const NoRate &) const = default;
};
/** The response states a limit that cannot be parsed. */
struct UnreadableRate
{
    bool operator==(const UnreadableRate &) const = default;
};
/** Requests per second that the replica accepts from all gateways together. */
struct RatePerSecond
{
    double value = 0;
    bool operator==(const RatePerSecond &) const = default;
};
/** Request rate limit that a replica states in a response. */
using AdvertisedRate = std::variant<NoRate, UnreadableRate, RatePerSecond>;

/** Fields of a replica's response. */
struct ResponseFields
{
    std::string requestId; ///< that the response answers; empty if not stated unambiguously
    std::string replicaId; ///< of the replica that responded; empty if not stated
    bool isSigned = false;
    bool isNotRun = false; ///< the replica states that it did not run the request
    bool isStream = false;
    AdvertisedRate rate;
    std::optional<Milliseconds> coldLeft; ///< how much longer the replica is cold
    ReplicaNotice notice;
    std::optional<std::uint64_t> weightsVersion; ///< that the replica ran; empty if not stated
};

/** A caller's query for gateway addresses. */
struct AddressQuery
{
    std::string dataCentre;
    std::string region;
    std::string host; ///< of the requests that the caller wants to send; empty: unknown
};

/** Maps HTTP headers of callers and replicas to fields. */
class CallPort
{
public:
    virtual ~CallPort() = default;
    virtual CallerFields callerFields(const HttpRequest &request) const = 0;
    virtual std::vector<HttpHeader> outgoing(const HttpRequest &request,
                                             const OutgoingFields &fields) const = 0;
    virtual ResponseFields responseFields(const LinkHead &head) const = 0;
    /** Headers of a replica's response without those addressed to the gateway. */
    virtual std::vector<HttpHeader> responseHeaders(const LinkHead &head) const = 0;
    /** Header that tells the caller to retry @p after a delay. */
    virtual HttpHeader retryAfter(Milliseconds after) const = 0;

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
    bool isWhole = false; ///< all layers are loaded, and of this version
};

/** State that an engine reports. */
struct EngineReport
{
    std::vector<LoadedWeights> loaded;
    std::uint64_t born = 0; ///< start time that the engine states; zero if it states none
    bool isBusy = false; ///< a load order is in progress
    std::uint64_t acceptedOrderCount = 0; ///< since the engine started
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t memoryUsed = 0;
    std::uint64_t memoryTotal = 0;
    double pace = 1;
};

enum class OrderResult : std::uint8_t
{
    Begun, ///< the engine accepted the order
    AlreadyDone,
    Refused, ///< the order does not match the engine's state
    Unknown, ///< no response; the engine may have accepted the order
};

/** Access to the agent's local engine and to the origin of weights. */
class EnginePort
{
public:
    virtual ~EnginePort() = default;
    virtual awaitable<std::optional<EngineReport>> report(std::uint32_t layers) = 0;
    /**
     * Orders the engine to load the staged weights once all running requests have ended; the
     * engine accepts no new requests until then. @p acceptedOrderCount comes from the last report.
     */
    virtual awaitable<OrderResult> load(std::string model, std::uint64_t version,
                                        std::uint64_t acceptedOrderCount)
        = 0;
    virtual awaitable<bool> stagePut(std::string model, std::uint32_t index, std::string data) = 0;
    /**
     * Lists the indexes of the staged pieces, whose contents may be corrupt or of any version;
     * nothing if the stage cannot be reached.
     */
    virtual awaitable<std::optional<std::vector<std::uint32_t>>> stagedPieces(std::string model)
        = 0;
    /** Reads a staged piece; nothing if it is not staged or the stage cannot be reached. */
    virtual awaitable<std::optional<std::string>> stageGet(std::string model, std::uint32_t index)
        = 0;
    virtual awaitable<tl::expected<Manifest, std::string>>
    manifest(Tcp::endpoint origin, std::string model, std::uint64_t version) = 0;
    virtual awaitable<std::optional<std::string>> piece(Tcp::endpoint origin, std::string model,
                                                        std::uint64_t version, std::uint32_t index)
        = 0;
};

/** All interfaces of one platform. Owned by main(). */
struct PlatformPorts
{
    std::unique_ptr<StorePort> store;
    std::unique_ptr<RecordPort> records;
    std::unique_ptr<CallPort> calls;
    std::unique_ptr<EnginePort> engine; ///< null in a gateway
};

} // namespace Loom
