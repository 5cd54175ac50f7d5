/*
 * test_records.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#define BOOST_TEST_MODULE platform
#include <boost/test/unit_test.hpp>

#include "engineclient.h"
#include "recorddecoder.h"
#include "storeclient.h"

#include "asynctypes.h"

#include <random>

#include <boost/json.hpp>

using namespace Loom;

namespace {

constexpr std::string_view sConfig = R"({"version":7,
 "routes":[{"name":"r-1","host":"h.example","path_prefix":"/a/b/","kind":"stream",
  "timeout_ms":6000,"goal_ms":400,"priority":1,"service":"s1","max_attempts":2,
  "public":false,"sticky":true,"resumable":true,"gap_aim_ms":300},
 {"name":"r-2","host":"g.example","path_prefix":"/c/","kind":"unsafe","timeout_ms":1500,
  "goal_ms":150,"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]},
 {"name":"r-3","host":"g.example","path_prefix":"/d/","kind":"safe","service":"s2"}],
 "services":[{"name":"s1","max_conns":424,"engine":{"slots":16,"kv_capacity":685000,
  "stride":6,"models":[{"name":"m1"}],"step_ms":7.4,"per_seq_ms":0.0387,
  "context_per_k":0.0203,"read_per_s":31900.0,"usual":{"prompt":973,"answer":106},
  "layers":16}},
 {"name":"w","origin":"172.20.0.3:8006","link_mbps":15.0},{"name":"s2","max_conns":96}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
  "idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1}],"unknown":{"x":1}})";

RouteConfig readConfig(std::string_view text)
{
    const Platform::RecordDecoder records;
    auto record = records.operatorRecord("config", text);
    BOOST_REQUIRE(record.has_value());
    BOOST_REQUIRE(std::holds_alternative<RouteConfig>(*record));
    return std::get<RouteConfig>(*record);
}

} // namespace

BOOST_AUTO_TEST_CASE(all_fields_of_a_configuration_are_decoded)
{
    const RouteConfig config = readConfig(sConfig);
    BOOST_TEST(config.version == 7U);
    BOOST_REQUIRE(config.routes.size() == 3U);
    const Route &stream = config.routes[0];
    BOOST_TEST(stream.isStream);
    BOOST_TEST(stream.isResumable);
    BOOST_TEST(stream.mayRepeat());
    BOOST_TEST(!stream.isPublic);
    BOOST_TEST(stream.timeout.count() == 6000);
    BOOST_TEST(stream.goal.count() == 400);
    BOOST_TEST(stream.pauseGoal.count() == 300);
    BOOST_TEST(stream.attempts == 2U);
    const Route &once = config.routes[1];
    BOOST_TEST(!once.mayRepeat());
    BOOST_REQUIRE(once.targets.size() == 2U);
    BOOST_TEST(once.targets[1].weight == 10U);
    BOOST_TEST(config.routes[2].mayRepeat());
    const EngineProfile &engine = *config.services[0].engine;
    BOOST_TEST(engine.prefillTokensPerMs == 31.9);
    BOOST_TEST(engine.stepsPerPass == 6U);
    BOOST_TEST(engine.models.front() == "m1");
    BOOST_TEST(config.services[1].origin->address == "172.20.0.3:8006");
    BOOST_TEST(config.accounts[0].keys.size() == 2U);
    BOOST_TEST(config.limits.idleTimeout.count() == 15000);
}

// Guards against a configuration whose requests would be served in another order than written.
BOOST_AUTO_TEST_CASE(configuration_with_an_invalid_priority_is_rejected_and_names_the_field)
{
    const Platform::RecordDecoder records;
    const auto errorOf = [&](std::string_view list, std::string_view priority) {
        const std::string text = R"({"version":7,")" + std::string(list)
            + R"(":[{"name":"first","priority":1},{"name":"x","priority":)" + std::string(priority)
            + "}]}";
        const auto record = records.operatorRecord("config", text);
        return record ? std::string() : record.error();
    };
    for (const std::string_view list : {"routes", "tenants"}) {
        for (const std::string_view bad :
             {"-1", "1001", "1.5", "2.0", "\"3\"", "null", "true", "[]", "18446744073709551615"}) {
            BOOST_TEST(errorOf(list, bad).starts_with(std::string(list) + "[x].priority: "));
        }
        for (const std::string_view good : {"0", "5", "1000"}) {
            BOOST_TEST(errorOf(list, good).empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(priorities_are_read_and_missing_ones_are_the_default)
{
    const RouteConfig config = readConfig(sConfig);
    BOOST_TEST(config.routes[0].priority == 1U);
    BOOST_TEST(config.routes[1].priority == 5U);
    BOOST_TEST(config.accounts[0].priority == 1U);
}

BOOST_AUTO_TEST_CASE(errors_of_unreadable_records_name_the_field)
{
    const Platform::RecordDecoder records;
    const auto broken = records.operatorRecord("config", "{\"version\":");
    BOOST_TEST(!broken.has_value());
    BOOST_TEST(broken.error().find("version") != std::string::npos);
    BOOST_TEST(!records.operatorRecord("version/m1", "{}").has_value());
    BOOST_TEST(!records.replicaRecord("i-1", "not json").has_value());
    const auto other = records.operatorRecord("something", "{}");
    BOOST_TEST(std::holds_alternative<UnrelatedRecord>(*other));
}

BOOST_AUTO_TEST_CASE(weights_count_as_loaded_only_when_complete)
{
    const Platform::RecordDecoder records;
    const auto plain = records.replicaRecord(
        "i-1", R"({"service":"s","address":"1.2.3.4:5","zone":"z","version":"v1","slots":6,
                   "state":"draining","models":[]})");
    BOOST_TEST(plain->isDraining);
    BOOST_TEST(plain->weightsVersion == 0U); // "v1" is the version of its software
    const auto partial = Platform::parseEngineReport(
        R"({"stage":"hybrid","models":[{"name":"m","version":2}],"busy":true,"sequence":3,
            "waiting":1,"running":2,"layers":[{"from":0,"target_version":8,"version":2}]})",
        16);
    BOOST_TEST(!partial->loaded.front().isWhole);
    BOOST_TEST(partial->isBusy);
    BOOST_TEST(partial->acceptedOrderCount == 3U);
    const auto complete = Platform::parseEngineReport(
        R"({"models":[{"name":"m","version":2}],"running":2,"layers":[
            {"from":8,"target_version":16,"version":2},{"from":0,"target_version":8,"version":2}]})",
        16);
    BOOST_TEST(complete->loaded.front().isWhole);
    BOOST_TEST(!Platform::parseEngineReport("{}", 16).has_value());
}

BOOST_AUTO_TEST_CASE(log_read_parser_checks_record_lengths)
{
    const std::string offsets(16, '\0');
    const std::string kept = Platform::encodeKeyedRecord("config", std::string("{}"));
    const std::string removed = Platform::encodeKeyedRecord("i-1", std::nullopt);
    const auto batch = Platform::parseLogRead(offsets + kept + removed, 40);
    BOOST_REQUIRE(batch.has_value());
    BOOST_TEST(batch->next == 42U);
    BOOST_TEST(batch->records[0].key == "config");
    BOOST_TEST(*batch->records[0].value == "{}");
    BOOST_TEST(batch->records[0].offset == 40U);
    BOOST_TEST(!batch->records[1].value.has_value());
    BOOST_TEST(batch->records[1].offset == 41U);
    const std::string complete = offsets + kept;
    for (std::size_t size = 0; size < complete.size(); ++size) {
        const auto truncated
            = Platform::parseLogRead(std::string_view(complete).substr(0, size), 40);
        BOOST_TEST((!truncated || truncated->records.empty()));
    }
}

BOOST_AUTO_TEST_CASE(log_read_that_ends_before_the_log_reports_more_records)
{
    const std::string first(8, '\0');
    const std::string record = Platform::encodeKeyedRecord("config", std::string("{}"));
    const std::string end = first.substr(1) + '\x2a'; // 42
    BOOST_TEST(!Platform::parseLogRead(end + first + record + record, 40)->hasMore);
    BOOST_TEST(Platform::parseLogRead(end + first + record, 40)->hasMore);
    BOOST_TEST(!Platform::parseLogRead(end + first, 42)->hasMore);
}

BOOST_AUTO_TEST_CASE(manifest_of_another_version_is_rejected)
{
    const std::string text = R"({"model":"m","version":2,"chunk_bytes":32768,"layers":16,)"
                             R"("digests":[")"
        + std::string(64, 'a') + R"(",")" + std::string(64, 'b') + R"("]})";
    const auto manifest = Platform::parseManifest(text, "m", 2);
    BOOST_REQUIRE(manifest.has_value());
    BOOST_TEST(manifest->chunkCount() == 2U);
    // Two agents that fetch the manifest independently must produce the same text.
    const auto again = Manifest::parse(manifest->text());
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again->text() == manifest->text());
    BOOST_TEST(!Platform::parseManifest(text, "m", 3).has_value());
    BOOST_TEST(!Platform::parseManifest("{}", "m", 2).has_value());
}

namespace {

constexpr std::string_view sReplicaRecord = R"({"service":"s","address":"1.2.3.4:5","zone":"z",
 "version":"v1","slots":12,"state":"ready","cold_left_ms":0,"stage":"hybrid",
 "models":[{"name":"m","version":2,"adapters":[]}],"sequence":4,"born":1700000000123})";

std::string withField(std::string_view name, std::string_view value)
{
    boost::json::object object = boost::json::parse(sReplicaRecord).as_object();
    if (value.empty()) {
        object.erase(name);
    } else {
        object[name] = boost::json::parse(value);
    }
    return boost::json::serialize(object);
}

struct InvalidField
{
    std::string_view name;
    std::string_view value; ///< empty if the field is missing
};

// Values that another process may write into the record of a replica.
constexpr InvalidField sInvalidFields[] = {
    {"service", ""},
    {"service", "7"},
    {"service", R"("")"},
    {"service", "null"},
    {"address", ""},
    {"address", "[]"},
    {"address", R"("nowhere")"},
    {"address", R"("1.2.3.4")"},
    {"address", R"("1.2.3.4:99999")"},
    {"zone", ""},
    {"zone", "{}"},
    {"state", ""},
    {"state", "1"},
    {"state", R"("lame")"},
    {"state", R"("")"},
    {"state", "true"},
    {"slots", ""},
    {"slots", R"("12")"},
    {"slots", "-1"},
    {"slots", "0"},
    {"slots", "1.5"},
    {"slots", "1e300"},
    {"slots", "18446744073709551615"},
    {"born", R"("now")"},
    {"born", "-5"},
    {"born", "1.25"},
    {"born", "1e300"},
    {"born", "18446744073709551615"},
    {"sequence", R"("4")"},
    {"sequence", "-4"},
    {"models", R"("m")"},
    {"models", "[1]"},
    {"models", R"([{"name":"m","version":-2}])"},
    {"models", R"([{"name":"m","version":2.5}])"},
    {"models", R"([{"name":"m","version":18446744073709551615}])"},
    {"models", R"([{"name":7,"version":2}])"},
};

} // namespace

BOOST_AUTO_TEST_CASE(start_time_of_a_replica_is_read)
{
    const Platform::RecordDecoder records;
    const auto record = records.replicaRecord("i-1", sReplicaRecord);
    BOOST_REQUIRE(record.has_value());
    BOOST_TEST(record->born == 1700000000123U);
    BOOST_TEST(record->slots == 12U);
    BOOST_TEST(record->weightsVersion == 2U);
    const auto withoutStartTime = records.replicaRecord("i-1", withField("born", ""));
    BOOST_REQUIRE(withoutStartTime.has_value());
    BOOST_TEST(withoutStartTime->born == 0U);
    const auto report = Platform::parseEngineReport(R"({"running":1,"born":1700000000123})", 16);
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(report->born == 1700000000123U);
}

BOOST_AUTO_TEST_CASE(malformed_replica_records_are_rejected)
{
    const Platform::RecordDecoder records;
    for (const InvalidField &invalid : sInvalidFields) {
        const auto record = records.replicaRecord("i-1", withField(invalid.name, invalid.value));
        BOOST_TEST_CONTEXT(invalid.name << " is " << invalid.value)
        {
            BOOST_REQUIRE(!record.has_value());
            BOOST_TEST(record.error().find(invalid.name) != std::string::npos);
        }
    }
    BOOST_TEST(!records.replicaRecord("i-1", "").has_value());
    BOOST_TEST(!records.replicaRecord("i-1", "[]").has_value());
    BOOST_TEST(!records.replicaRecord("i-1", "\xff\xfe\x00{").has_value());
    BOOST_TEST(!records.replicaRecord("i-1", R"({"slots":NaN})").has_value());
}

BOOST_AUTO_TEST_CASE(invalid_numbers_in_an_engine_report_are_bounded)
{
    const auto report = Platform::parseEngineReport(
        R"({"running":-1,"waiting":1e300,"pace":-3,"kv_used":-7,"kv_total":1.5,"sequence":-2,
            "born":"x","models":[{"name":"m","version":-1},{"name":4,"version":1}],"busy":"no"})",
        16);
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(report->running == 0U);
    BOOST_TEST(report->waiting == 0U);
    BOOST_TEST(report->pace == 1);
    BOOST_TEST(report->memoryUsed == 0U);
    BOOST_TEST(report->acceptedOrderCount == 0U);
    BOOST_TEST(report->born == 0U);
    for (const LoadedWeights &loaded : report->loaded) {
        BOOST_TEST(!(loaded.isWhole && loaded.version > 1));
    }
    BOOST_TEST(Platform::parseEngineReport(R"({"running":1,"pace":1e300})", 16)->pace < 1e6);
}

// Bytes that are changed, removed or duplicated at random must not crash a decoder, and the
// fields of every accepted record must be within their bounds.
BOOST_AUTO_TEST_CASE(mutated_records_are_decoded_or_rejected)
{
    constexpr int mutationCount = 20'000;
    const Platform::RecordDecoder records;
    std::mt19937 random(1);
    const std::vector<std::string> texts{
        std::string(sReplicaRecord), std::string(sConfig), R"({"model":"m","version":2})",
        R"({"model":"m","version":2,"chunk_bytes":32768,"layers":16,"digests":["aa","bb"]})"};
    const auto pick = [&](std::size_t count) { return random() % count; };
    for (int round = 0; round < mutationCount; ++round) {
        std::string text = texts[pick(texts.size())];
        for (std::size_t change = 1 + pick(4); change > 0 && !text.empty(); --change) {
            const std::size_t position = pick(text.size());
            switch (pick(4)) {
            case 0:
                text[position] = static_cast<char>(random());
                break;
            case 1:
                text.erase(position, 1 + pick(8));
                break;
            case 2:
                text.insert(position, text.substr(pick(text.size()), pick(24)));
                break;
            default:
                text.insert(position, "9e99");
            }
        }
        const auto replica = records.replicaRecord("i-1", text);
        if (replica) {
            BOOST_REQUIRE(!replica->service.empty());
            BOOST_REQUIRE(replica->slots >= 1 && replica->slots <= 1'000'000);
            BOOST_REQUIRE(parseEndpoint(replica->address).has_value());
        }
        records.operatorRecord("config", text);
        records.operatorRecord("version/m", text);
        Platform::parseEngineReport(text, 16);
        Platform::parseManifest(text, "m", 2);
    }
}

BOOST_AUTO_TEST_CASE(regions_of_routes_and_accounts_are_decoded)
{
    const RouteConfig config = readConfig(R"({"version":7,"routes":[
        {"name":"r-1","allowed_regions":["west","east"]},{"name":"r-2","allowed_regions":[]},
        {"name":"r-3"}],"tenants":[{"name":"t1","allowed_regions":["east"]},{"name":"t2"}]})");
    BOOST_TEST(config.routes[0].allowedRegions == (std::vector<std::string>{"west", "east"}));
    BOOST_TEST(config.routes[1].allowedRegions.empty());
    BOOST_TEST(config.routes[2].allowedRegions.empty());
    BOOST_TEST(config.accounts[0].allowedRegions == std::vector<std::string>{"east"});
    BOOST_TEST(config.accounts[1].allowedRegions.empty());
}

// Guards against a list of regions that is read in part, or not at all, and allows all regions.
BOOST_AUTO_TEST_CASE(configuration_with_an_unreadable_list_of_regions_is_rejected)
{
    const Platform::RecordDecoder records;
    for (const std::string list : {R"("west")", R"(null)", R"({"west":1})", R"(["west",3])",
                                   R"([["west"]])", R"([null])", R"(true)", R"(1)"}) {
        const auto route = records.operatorRecord(
            "config",
            R"({"version":7,"routes":[{"name":"r-0"},{"name":"r-1","allowed_regions":)" + list
                + "}]}");
        BOOST_REQUIRE(!route.has_value());
        BOOST_TEST(route.error().starts_with("routes[r-1].allowed_regions: "));
        const auto account = records.operatorRecord(
            "config", R"({"version":7,"tenants":[{"name":"t1","allowed_regions":)" + list + "}]}");
        BOOST_REQUIRE(!account.has_value());
        BOOST_TEST(account.error().starts_with("tenants[t1].allowed_regions: "));
    }
}

BOOST_AUTO_TEST_CASE(evacuations_are_decoded_or_refused_with_the_field)
{
    const Platform::RecordDecoder records;
    for (const char *value : {"{}", R"({"by":"me","since":[1]})"}) {
        const auto record = records.operatorRecord("evacuate/dfw-a", value);
        BOOST_REQUIRE(record.has_value());
        BOOST_REQUIRE(std::holds_alternative<Evacuation>(*record));
        BOOST_TEST(std::get<Evacuation>(*record).dataCentre == "dfw-a");
    }
    for (const char *value : {"", "[]", "true", "null", "\"{}\"", "{", "{}{}"}) {
        const auto record = records.operatorRecord("evacuate/dfw-a", value);
        BOOST_REQUIRE(!record.has_value());
        BOOST_TEST(record.error().starts_with("value: "));
    }
    const auto unnamed = records.operatorRecord("evacuate/", "{}");
    BOOST_REQUIRE(!unnamed.has_value());
    BOOST_TEST(unnamed.error().starts_with("key: "));
}

BOOST_AUTO_TEST_CASE(cold_rate_of_a_service_is_decoded)
{
    const auto service = [](std::string_view fields) {
        return readConfig(R"({"version":1,"services":[{"name":"s")" + std::string(fields) + "}]}")
            .services.at(0);
    };
    BOOST_TEST(service("").coldPerSecond == 0);
    BOOST_TEST(service(R"(,"cold_per_s":14)").coldPerSecond == 14);
    BOOST_TEST(service(R"(,"cold_per_s":2.5,"cold_start_s":30)").coldPerSecond == 2.5);
    BOOST_TEST(service(R"(,"cold_per_s":0)").coldPerSecond == 0);
    BOOST_TEST(service(R"(,"cold_per_s":14,"cold_start_s":30.5)").invalidColdFields.empty());
    for (const auto *value : {"-1", "\"14\"", "null", "true", "[14]", "{}"}) {
        const ServiceConfig read = service(R"(,"cold_per_s":)" + std::string(value));
        BOOST_TEST(read.coldPerSecond == 0, value);
        BOOST_TEST((read.invalidColdFields == std::vector<std::string>{"cold_per_s"}), value);
    }
    // An invalid cold_start_s does not take the limit away.
    const ServiceConfig read = service(R"(,"cold_per_s":14,"cold_start_s":-1)");
    BOOST_TEST(read.coldPerSecond == 14);
    BOOST_TEST((read.invalidColdFields == std::vector<std::string>{"cold_start_s"}));
}

BOOST_AUTO_TEST_CASE(cold_time_of_a_replica_is_decoded_or_its_record_is_rejected)
{
    const Platform::RecordDecoder records;
    const auto read = [&](std::string_view field) {
        return records.replicaRecord(
            "i-1",
            R"({"service":"s1","address":"10.0.0.1:80","zone":"z1","slots":4,"state":"ready")"
                + std::string(field) + "}");
    };
    BOOST_REQUIRE(read("").has_value());
    BOOST_TEST(read("")->coldLeft.count() == 0);
    BOOST_TEST(read(R"(,"cold_left_ms":0)")->coldLeft.count() == 0);
    BOOST_TEST(read(R"(,"cold_left_ms":1500)")->coldLeft.count() == 1500);
    for (const auto *value : {"-1", "1.5", "\"1500\"", "null", "true", "[]", "99999999999999"}) {
        const auto record = read(R"(,"cold_left_ms":)" + std::string(value));
        BOOST_TEST_REQUIRE(!record.has_value(), value);
        BOOST_TEST(record.error().starts_with("cold_left_ms"), value);
    }
}

// Guards against reading an index that is out of range or of another type as another one.
BOOST_AUTO_TEST_CASE(staged_pieces_are_listed_by_index)
{
    const auto held = Platform::parseStagedPieces(R"({"held":[0,3,95]})");
    BOOST_REQUIRE(held.has_value());
    BOOST_TEST(*held == (std::vector<std::uint32_t>{0, 3, 95}), boost::test_tools::per_element());
    BOOST_TEST(Platform::parseStagedPieces(R"({"held":[]})")->empty());
    for (const char *text : {"", "[]", "{}", R"({"held":3})", R"({"held":["3"]})",
                             R"({"held":[-1]})", R"({"held":[4294967296]})", R"({"held":[1.5]})"}) {
        BOOST_TEST(!Platform::parseStagedPieces(text).has_value());
    }
}
