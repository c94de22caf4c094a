/** @file config_state.cpp One revision with its parts' contents, checked against the head. */
#include "config_state.hpp"
#include "config_func.hpp"
#include "config_head_func.hpp"
#include "finding_type.hpp"

#include <algorithm>
#include <functional>
#include <string_view>

namespace sniperock {
namespace {

using part_reader = std::function<void(config_snapshot&, const std::string&)>;

/** How the parts with fixed names are read. */
const std::map<std::string, part_reader>& part_readers()
{
    static const std::map<std::string, part_reader> readers{
        {part_name::plans,
         [](config_snapshot& to, const std::string& text) {
             to.plans = parse_plans(text, part_name::plans);
         }},
        {part_name::allowances,
         [](config_snapshot& to, const std::string& text) {
             to.allowances = parse_allowances(text, part_name::allowances);
         }},
        {part_name::availability,
         [](config_snapshot& to, const std::string& text) {
             to.out = parse_availability(text, part_name::availability);
         }},
        {part_name::admins,
         [](config_snapshot& to, const std::string& text) {
             to.admins = parse_admins(text, part_name::admins);
         }},
    };
    return readers;
}

bool is_service_part(std::string_view name)
{
    return name.starts_with(part_name::service_prefix);
}

/** The content of one part, or null. */
std::shared_ptr<const std::string> find_text(const std::string& name, const part_ref& ref,
                                             const config_state& known, const part_texts& fetched)
{
    const auto same = known.head.parts.find(name);
    if (same != known.head.parts.end() && same->second.digest == ref.digest) {
        return known.texts.at(name);
    }
    const auto found = fetched.find(name);
    return found == fetched.end() ? nullptr : found->second;
}

/** Services of @p known by name, to take over unchanged ones without parsing. */
std::map<std::string, const service_entry*> index_services(const config_state& known)
{
    std::map<std::string, const service_entry*> index;
    for (const auto& service : known.snapshot->services) {
        index.emplace(service_part(service.name), &service);
    }
    return index;
}

void read_service_part(config_snapshot& to, const std::string& name, const std::string& text)
{
    auto services = parse_services(text, name);
    if (services.size() != 1 || service_part(services.front().name) != name) {
        throw invalid_input({{name, 0, "/services", "must hold just this service"}});
    }
    to.services.push_back(std::move(services.front()));
}

} // namespace

std::shared_ptr<const config_state> empty_state()
{
    auto state = std::make_shared<config_state>();
    state->snapshot = std::make_shared<const config_snapshot>();
    return state;
}

std::vector<std::string> missing_parts(const config_head& head, const config_state& known,
                                       const part_texts& fetched)
{
    std::vector<std::string> missing;
    for (const auto& [name, ref] : head.parts) {
        const auto text = find_text(name, ref, known, fetched);
        if (!text || content_digest(*text) != ref.digest) {
            missing.push_back(name);
        }
    }
    return missing;
}

std::shared_ptr<const config_state> make_state(config_head head, const config_state& known,
                                               const part_texts& fetched)
{
    auto state = std::make_shared<config_state>();
    auto snapshot = std::make_shared<config_snapshot>();
    snapshot->revision = head.revision;
    const auto known_services = index_services(known);
    for (const auto& [name, ref] : head.parts) {
        auto text = find_text(name, ref, known, fetched);
        if (!text) {
            throw invalid_input({{name, 0, "/", "its content is missing"}});
        }
        const auto same = known.texts.find(name);
        const bool unchanged = same != known.texts.end() && same->second == text;
        if (!unchanged && content_digest(*text) != ref.digest) {
            throw invalid_input({{name, 0, "/", "its content has another digest"}});
        }
        const auto known_service = known_services.find(name);
        if (unchanged && known_service != known_services.end()) {
            snapshot->services.push_back(*known_service->second);
        }
        else if (is_service_part(name)) {
            read_service_part(*snapshot, name, *text);
        }
        else if (const auto reader = part_readers().find(name); reader != part_readers().end()) {
            reader->second(*snapshot, *text);
        }
        state->texts.emplace(name, std::move(text));
    }
    state->head = std::move(head);
    state->snapshot = std::move(snapshot);
    return state;
}

std::map<std::string, std::string> format_parts(const config_snapshot& snapshot)
{
    std::map<std::string, std::string> parts{
        {part_name::plans, format_plans(snapshot.plans)},
        {part_name::allowances, format_allowances(snapshot.allowances)},
        {part_name::availability, format_availability(snapshot.out)},
        {part_name::admins, format_admins(snapshot.admins)},
    };
    for (const auto& service : snapshot.services) {
        parts.emplace(service_part(service.name), format_services({service}));
    }
    return parts;
}

} // namespace sniperock
