/** @file config_json.cpp Parses and formats the operators' lists; collects every finding. */
#include "config_func.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <limits>
#include <set>

namespace sniperock {
namespace {

using json = nlohmann::json;

constexpr int schema_version = 1;
constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t key_hash_bytes = 64;

/** Reads the fields of one JSON object and collects findings, unknown fields included. */
class object_reader {
public:
    object_reader(const json& object, std::string place, const std::string& source,
                  finding_list& findings)
        : object_(object), place_(std::move(place)), source_(source), findings_(findings)
    {
        if (!object_.is_object()) {
            report("", "must be an object");
        }
    }

    ~object_reader()
    {
        if (!object_.is_object()) {
            return;
        }
        for (const auto& [name, value] : object_.items()) {
            if (!known_.contains(name)) {
                report(name, "is not a known field");
            }
        }
    }

    object_reader(const object_reader&) = delete;
    object_reader& operator=(const object_reader&) = delete;

    void report(const std::string& field, const std::string& message)
    {
        const std::string where = field.empty() ? place_ : place_ + "/" + field;
        findings_.push_back({source_, 0, where.empty() ? "/" : where, message});
    }

    const json* field(const std::string& name, bool required)
    {
        known_.insert(name);
        if (!object_.is_object()) {
            return nullptr;
        }
        const auto found = object_.find(name);
        if (found != object_.end()) {
            return &*found;
        }
        if (required) {
            report(name, "is required");
        }
        return nullptr;
    }

    std::string text(const std::string& name, bool required = true)
    {
        const json* value = field(name, required);
        if (value == nullptr) {
            return {};
        }
        if (!value->is_string()) {
            report(name, "must be a string");
            return {};
        }
        return value->get<std::string>();
    }

    std::string name(const std::string& field_name)
    {
        std::string value = text(field_name);
        const bool well_formed =
            !value.empty() && value.size() <= max_name_bytes &&
            std::ranges::all_of(value, [](unsigned char ch) {
                return std::isalnum(ch) != 0 || ch == '-' || ch == '_' || ch == '.';
            });
        if (!well_formed && object_.is_object() && object_.contains(field_name)) {
            report(field_name, "must be 1 to 64 letters, digits, '-', '_' or '.'");
        }
        return value;
    }

    std::uint32_t number(const std::string& name, std::uint32_t fallback, std::uint32_t min,
                         std::uint32_t max, bool required = false)
    {
        const json* value = field(name, required);
        if (value == nullptr) {
            return fallback;
        }
        if (!value->is_number_integer() || value->get<std::int64_t>() < min ||
            value->get<std::int64_t>() > max) {
            report(name, "must be a whole number from " + std::to_string(min) + " to " +
                             std::to_string(max));
            return fallback;
        }
        return value->get<std::uint32_t>();
    }

    std::vector<std::string> texts(const std::string& name, bool required = false)
    {
        std::vector<std::string> result;
        const json* value = field(name, required);
        if (value == nullptr) {
            return result;
        }
        if (!value->is_array() ||
            !std::ranges::all_of(*value, [](const json& item) { return item.is_string(); })) {
            report(name, "must be an array of strings");
            return result;
        }
        return value->get<std::vector<std::string>>();
    }

    /** Calls @p read for each element of an array with its place. */
    void each(const std::string& name, bool required,
              const std::function<void(const json&, std::string)>& read)
    {
        const json* value = field(name, required);
        if (value == nullptr) {
            return;
        }
        if (!value->is_array()) {
            report(name, "must be an array");
            return;
        }
        std::size_t at = 0;
        for (const auto& item : *value) {
            read(item, place_ + "/" + name + "/" + std::to_string(at++));
        }
    }

private:
    const json& object_;
    std::string place_;
    const std::string& source_;
    finding_list& findings_;
    std::set<std::string> known_;
};

json parse_json(const std::string& text, const std::string& source)
{
    try {
        return json::parse(text);
    }
    catch (const json::parse_error& fault) {
        const auto end =
            text.begin() + static_cast<std::ptrdiff_t>(std::min(fault.byte, text.size()));
        const auto line = 1 + std::count(text.begin(), end, '\n');
        throw invalid_input({{source, static_cast<int>(line), "", fault.what()}});
    }
}

void check_schema(object_reader& reader)
{
    reader.number("schema", schema_version, schema_version, schema_version, true);
}

/** Reports each name that stands twice. */
template <typename Items, typename Name>
void check_unique(const Items& items, Name name, const std::string& what, const std::string& source,
                  const std::string& place, finding_list& findings)
{
    std::set<std::string> seen;
    std::size_t at = 0;
    for (const auto& item : items) {
        if (!seen.insert(name(item)).second) {
            findings.push_back({source, 0, place + "/" + std::to_string(at),
                                what + " " + name(item) + " stands twice"});
        }
        ++at;
    }
}

void throw_if_any(finding_list findings)
{
    if (!findings.empty()) {
        throw invalid_input(std::move(findings));
    }
}

bool is_key_hash(const std::string& text)
{
    return text.size() == key_hash_bytes && std::ranges::all_of(text, [](unsigned char ch) {
               return std::isdigit(ch) != 0 || (ch >= 'a' && ch <= 'f');
           });
}

plan read_plan(const json& item, std::string place, const std::string& source,
               finding_list& findings)
{
    object_reader reader(item, std::move(place), source, findings);
    plan result{reader.name("name"), reader.texts("key_hashes", true)};
    if (!std::ranges::all_of(result.key_hashes, is_key_hash)) {
        reader.report("key_hashes", "each must be a SHA-256 in 64 lower-case hex digits");
    }
    return result;
}

allowance read_allowance(const json& item, std::string place, const std::string& source,
                         finding_list& findings)
{
    constexpr std::uint32_t max_weight = 10'000;
    constexpr std::uint32_t max_count = 1'000'000'000;
    object_reader reader(item, std::move(place), source, findings);
    return {reader.name("plan"), reader.name("service"), reader.number("weight", 1, 1, max_weight),
            reader.number("max_in_flight", 0, 0, max_count),
            reader.number("max_rate", 0, 0, max_count)};
}

server_entry read_server(const json& item, std::string place, const std::string& source,
                         finding_list& findings)
{
    constexpr std::uint32_t max_slots = 100'000;
    object_reader reader(item, std::move(place), source, findings);
    server_entry result;
    result.name = reader.name("name");
    result.address = reader.text("address");
    result.port = static_cast<std::uint16_t>(
        reader.number("port", 0, 1, std::numeric_limits<std::uint16_t>::max(), true));
    result.failure_domain = reader.name("failure_domain");
    result.slots = reader.number("slots", 1, 1, max_slots, true);
    result.cold_slots = reader.number("cold_slots", 1, 1, max_slots);
    if (result.cold_slots > result.slots) {
        reader.report("cold_slots", "must not exceed slots");
    }
    return result;
}

admin_entry read_admin(const json& item, std::string place, const std::string& source,
                       finding_list& findings)
{
    object_reader reader(item, std::move(place), source, findings);
    admin_entry result;
    result.name = reader.name("name");
    const auto role = from_name<admin_role>(reader.text("role"));
    if (!role) {
        reader.report("role", "must be read, operate or administer");
    }
    result.role = role.value_or(admin_role::read);
    result.key_hashes = reader.texts("key_hashes", true);
    if (!std::ranges::all_of(result.key_hashes, is_key_hash)) {
        reader.report("key_hashes", "each must be a SHA-256 in 64 lower-case hex digits");
    }
    return result;
}

service_entry read_service(const json& item, std::string place, const std::string& source,
                           finding_list& findings)
{
    constexpr std::uint32_t max_probe_rate = 100'000;
    const std::string servers_place = place + "/servers";
    object_reader reader(item, std::move(place), source, findings);
    service_entry result;
    result.name = reader.name("name");
    result.hosts = reader.texts("hosts");
    result.path_prefix = reader.text("path_prefix", false);
    if (!result.path_prefix.empty() && result.path_prefix.front() != '/') {
        reader.report("path_prefix", "must begin with '/'");
    }
    result.probe_rate = reader.number("probe_rate", 1, 0, max_probe_rate);
    reader.each("servers", true, [&](const json& server, std::string where) {
        result.servers.push_back(read_server(server, std::move(where), source, findings));
    });
    check_unique(
        result.servers, [](const server_entry& server) { return server.name; }, "server", source,
        servers_place, findings);
    return result;
}

json to_json(const plan& item)
{
    return {{"name", item.name}, {"key_hashes", item.key_hashes}};
}

json to_json(const allowance& item)
{
    return {{"plan", item.plan},
            {"service", item.service},
            {"weight", item.weight},
            {"max_in_flight", item.max_in_flight},
            {"max_rate", item.max_rate}};
}

json to_json(const server_entry& item)
{
    return {{"name", item.name},   {"address", item.address},
            {"port", item.port},   {"failure_domain", item.failure_domain},
            {"slots", item.slots}, {"cold_slots", item.cold_slots}};
}

json to_json(const admin_entry& item)
{
    return {{"name", item.name}, {"role", to_name(item.role)}, {"key_hashes", item.key_hashes}};
}

json to_json(const service_entry& item)
{
    json servers = json::array();
    for (const auto& server : item.servers) {
        servers.push_back(to_json(server));
    }
    return {{"name", item.name},
            {"hosts", item.hosts},
            {"path_prefix", item.path_prefix},
            {"probe_rate", item.probe_rate},
            {"servers", std::move(servers)}};
}

template <typename Items>
std::string format_list(const char* name, const Items& items)
{
    json list = json::array();
    for (const auto& item : items) {
        list.push_back(to_json(item));
    }
    return json{{"schema", schema_version}, {name, std::move(list)}}.dump(1);
}

} // namespace

std::vector<plan> parse_plans(const std::string& text, const std::string& source)
{
    finding_list findings;
    std::vector<plan> result;
    const json document = parse_json(text, source);
    {
        object_reader reader(document, "", source, findings);
        check_schema(reader);
        reader.each("plans", true, [&](const json& item, std::string place) {
            result.push_back(read_plan(item, std::move(place), source, findings));
        });
    }
    check_unique(
        result, [](const plan& item) { return item.name; }, "plan", source, "/plans", findings);
    throw_if_any(std::move(findings));
    return result;
}

std::vector<allowance> parse_allowances(const std::string& text, const std::string& source)
{
    finding_list findings;
    std::vector<allowance> result;
    const json document = parse_json(text, source);
    {
        object_reader reader(document, "", source, findings);
        check_schema(reader);
        reader.each("allowances", true, [&](const json& item, std::string place) {
            result.push_back(read_allowance(item, std::move(place), source, findings));
        });
    }
    check_unique(
        result, [](const allowance& item) { return item.plan + " for " + item.service; },
        "allowance of", source, "/allowances", findings);
    throw_if_any(std::move(findings));
    return result;
}

std::vector<service_entry> parse_services(const std::string& text, const std::string& source)
{
    finding_list findings;
    std::vector<service_entry> result;
    const json document = parse_json(text, source);
    {
        object_reader reader(document, "", source, findings);
        check_schema(reader);
        reader.each("services", true, [&](const json& item, std::string place) {
            result.push_back(read_service(item, std::move(place), source, findings));
        });
    }
    check_unique(
        result, [](const service_entry& item) { return item.name; }, "service", source, "/services",
        findings);
    throw_if_any(std::move(findings));
    return result;
}

availability parse_availability(const std::string& text, const std::string& source)
{
    finding_list findings;
    availability result;
    const json document = parse_json(text, source);
    {
        object_reader reader(document, "", source, findings);
        check_schema(reader);
        std::ranges::copy(reader.texts("domains_out", true),
                          std::inserter(result.domains_out, result.domains_out.end()));
        std::ranges::copy(reader.texts("vms_out", true),
                          std::inserter(result.vms_out, result.vms_out.end()));
    }
    throw_if_any(std::move(findings));
    return result;
}

std::vector<admin_entry> parse_admins(const std::string& text, const std::string& source)
{
    finding_list findings;
    std::vector<admin_entry> result;
    const json document = parse_json(text, source);
    {
        object_reader reader(document, "", source, findings);
        check_schema(reader);
        reader.each("admins", true, [&](const json& item, std::string place) {
            result.push_back(read_admin(item, std::move(place), source, findings));
        });
    }
    check_unique(
        result, [](const admin_entry& item) { return item.name; }, "admin", source, "/admins",
        findings);
    throw_if_any(std::move(findings));
    return result;
}

std::string format_plans(const std::vector<plan>& plans)
{
    return format_list("plans", plans);
}

std::string format_allowances(const std::vector<allowance>& allowances)
{
    return format_list("allowances", allowances);
}

std::string format_services(const std::vector<service_entry>& services)
{
    return format_list("services", services);
}

std::string format_admins(const std::vector<admin_entry>& admins)
{
    return format_list("admins", admins);
}

std::string format_availability(const availability& out)
{
    return json{
        {"schema", schema_version}, {"domains_out", out.domains_out}, {"vms_out", out.vms_out}}
        .dump(1);
}

finding_list check_references(const config_snapshot& snapshot)
{
    finding_list findings;
    std::set<std::string> plans;
    std::set<std::string> services;
    std::ranges::transform(snapshot.plans, std::inserter(plans, plans.end()), &plan::name);
    std::ranges::transform(snapshot.services, std::inserter(services, services.end()),
                           &service_entry::name);
    std::size_t at = 0;
    for (const auto& item : snapshot.allowances) {
        const std::string place = "/allowances/" + std::to_string(at++);
        if (!plans.contains(item.plan)) {
            findings.push_back({"allowances", 0, place + "/plan", "no plan named " + item.plan});
        }
        if (!services.contains(item.service)) {
            findings.push_back(
                {"allowances", 0, place + "/service", "no service named " + item.service});
        }
    }
    return findings;
}

} // namespace sniperock
