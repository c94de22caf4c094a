/** @file standin_control.cpp Commands and records of a stand-in server as JSON. */
#include "standin_control.hpp"
#include "finding_type.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>

namespace sniperock {
namespace {

using nlohmann::json;
using field_reader = std::function<bool(server_command&, const json&)>;

bool is_count(const json& value)
{
    return value.is_number_integer() && value.get<std::int64_t>() >= 0;
}

template <typename Target>
field_reader flag(Target server_command::*field)
{
    return [field](server_command& order, const json& value) {
        if (!value.is_boolean()) {
            return false;
        }
        order.*field = value.get<bool>();
        return true;
    };
}

template <typename Number, typename Target>
field_reader count(Target server_command::*field)
{
    return [field](server_command& order, const json& value) {
        if (!is_count(value)) {
            return false;
        }
        order.*field = Number{value.get<std::uint32_t>()};
        return true;
    };
}

template <typename Enum>
field_reader name(std::optional<Enum> server_command::*field)
{
    return [field](server_command& order, const json& value) {
        order.*field = value.is_string() ? from_name<Enum>(value.get<std::string>()) : std::nullopt;
        return (order.*field).has_value();
    };
}

const std::map<std::string, field_reader>& field_readers()
{
    static const std::map<std::string, field_reader> readers{
        {"phase", name(&server_command::phase)},
        {"shed", flag(&server_command::shed)},
        {"fail_fast", flag(&server_command::fail_fast)},
        {"slow_factor",
         [](server_command& order, const json& value) {
             if (!value.is_number() || value.get<double>() <= 0) {
                 return false;
             }
             order.slow_factor = value.get<double>();
             return true;
         }},
        {"slow_ms", count<milliseconds>(&server_command::slow_time)},
        {"service_time_us", count<microseconds>(&server_command::service_time)},
        {"slots", count<std::uint32_t>(&server_command::slots)},
        {"cold_slots", count<std::uint32_t>(&server_command::cold_slots)},
        {"report_lag_ms", count<milliseconds>(&server_command::report_lag)},
        {"report",
         [](server_command& order, const json& value) {
             if (!value.is_string()) {
                 return false;
             }
             order.report = value.get<std::string>();
             return true;
         }},
        {"silence", flag(&server_command::silence)},
        {"restart", flag(&server_command::restart)},
        {"die", name(&server_command::die)},
        {"die_calls", count<std::uint32_t>(&server_command::die_calls)},
    };
    return readers;
}

json to_json(const server_run& run)
{
    return {{"call_id", run.call_id},
            {"request_id", run.request_id},
            {"idempotency_key", run.idempotency_key},
            {"start_us", to_unix_us(run.start)},
            {"end_us", to_unix_us(run.end)},
            {"concurrency", run.concurrency}};
}

} // namespace

server_command parse_server_command(const std::string& text)
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object()) {
        throw invalid_input({{"command", 0, "/", "must be a JSON object"}});
    }
    server_command order;
    finding_list findings;
    for (const auto& [field, value] : document.items()) {
        const auto reader = field_readers().find(field);
        if (reader == field_readers().end()) {
            findings.push_back({"command", 0, "/" + field, "is not a known field"});
        }
        else if (!reader->second(order, value)) {
            findings.push_back({"command", 0, "/" + field, "has a malformed value"});
        }
    }
    if (!findings.empty()) {
        throw invalid_input(std::move(findings));
    }
    return order;
}

std::string format_server_record(const server_behaviour& behaviour, const server_record& record,
                                 const run_ledger& ledger, std::size_t runs)
{
    json listed = json::array();
    const auto skipped = record.runs.size() - std::min(runs, record.runs.size());
    for (std::size_t at = skipped; at < record.runs.size(); ++at) {
        listed.push_back(to_json(record.runs.at(at)));
    }
    const auto totals = ledger.totals();
    return json{{"name", behaviour.name},
                {"slots", behaviour.slots},
                {"cold_slots", behaviour.cold_slots},
                {"phase", to_name(record.phase)},
                {"down", record.down},
                {"calls", record.calls},
                {"probes", record.probes},
                {"shed", record.shed},
                {"late", record.late},
                {"cancelled", record.cancelled},
                {"abandoned", record.abandoned},
                {"failed_fast", record.failed_fast},
                {"died", record.died},
                {"fell_over", record.fell_over},
                {"connections", record.connections},
                {"in_flight", record.in_flight},
                {"most_in_flight", record.most_in_flight},
                {"most_running", record.most_running},
                {"most_cold_in_flight", record.most_cold_in_flight},
                {"process",
                 {{"once_runs", totals.once_runs},
                  {"doubles", totals.doubles},
                  {"ledger_dropped", totals.dropped},
                  {"doubled", ledger.doubled()}}},
                {"runs", std::move(listed)}}
        .dump();
}

} // namespace sniperock
