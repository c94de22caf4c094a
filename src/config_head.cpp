/** @file config_head.cpp Reads, writes and searches the head object. */
#include "config_head_func.hpp"
#include "finding_type.hpp"
#include "hash_func.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <numeric>

namespace sniperock {
namespace {

using json = nlohmann::json;

constexpr int head_schema = 1;
constexpr std::size_t digest_characters = 32;

json to_json(const change_record& item)
{
    return {{"id", item.id},
            {"who", item.who},
            {"what", item.what},
            {"revision", item.revision.value},
            {"at", item.at_us},
            {"touches", item.touches},
            {"supersedes", item.supersedes},
            {"request", item.request},
            {"before", item.before},
            {"after", item.after},
            {"bytes_before", item.bytes_before},
            {"bytes_after", item.bytes_after}};
}

change_record to_record(const json& item)
{
    change_record record;
    record.id = item.at("id");
    record.who = item.at("who");
    record.what = item.at("what");
    record.revision.value = item.at("revision");
    record.at_us = item.at("at");
    record.touches = item.at("touches").get<std::vector<std::string>>();
    record.supersedes = item.at("supersedes").get<std::vector<std::string>>();
    record.request = item.at("request");
    record.before = item.at("before");
    record.after = item.at("after");
    record.bytes_before = item.at("bytes_before");
    record.bytes_after = item.at("bytes_after");
    return record;
}

} // namespace

std::string format_head(const config_head& head)
{
    json parts = json::object();
    for (const auto& [name, ref] : head.parts) {
        parts[name] = {ref.object, ref.digest, ref.revision.value, ref.bytes};
    }
    json recent = json::array();
    std::ranges::transform(head.recent, std::back_inserter(recent), to_json);
    json retired = json::array();
    for (const auto& item : head.retired) {
        retired.push_back({item.key, item.revision.value});
    }
    return json{{"schema", head_schema},
                {"revision", head.revision.value},
                {"parts", std::move(parts)},
                {"recent", std::move(recent)},
                {"recent_since", head.recent_since_us},
                {"retired", std::move(retired)}}
        .dump();
}

config_head parse_head(const std::string& text, const std::string& source)
{
    try {
        const json document = json::parse(text);
        if (document.at("schema") != head_schema) {
            throw invalid_input({{source, 0, "/schema", "is not " + std::to_string(head_schema)}});
        }
        config_head head;
        head.revision.value = document.at("revision");
        head.recent_since_us = document.at("recent_since");
        for (const auto& [name, ref] : document.at("parts").items()) {
            head.parts[name] = {ref.at(0), ref.at(1), config_revision{ref.at(2)}, ref.at(3)};
        }
        std::ranges::transform(document.at("recent"), std::back_inserter(head.recent), to_record);
        for (const auto& item : document.at("retired")) {
            head.retired.push_back({item.at(0), config_revision{item.at(1)}});
        }
        return head;
    }
    catch (const json::exception& fault) {
        throw invalid_input({{source, 0, "/", fault.what()}});
    }
}

std::string content_digest(std::string_view content)
{
    return sha256_hex(content).substr(0, digest_characters);
}

std::string parts_digest(const config_head& head)
{
    std::string all;
    for (const auto& [name, ref] : head.parts) {
        all += name + "=" + ref.digest + "\n";
    }
    return content_digest(all);
}

std::uint64_t parts_bytes(const config_head& head)
{
    return std::accumulate(
        head.parts.begin(), head.parts.end(), std::uint64_t{0},
        [](std::uint64_t sum, const auto& part) { return sum + part.second.bytes; });
}

std::string part_key(const std::string& name, const part_ref& ref)
{
    return config_part_prefix + name + "/" + ref.object;
}

std::string service_part(const std::string& service)
{
    return part_name::service_prefix + service;
}

std::optional<change_record> find_change(const config_head& head, const std::string& id)
{
    const auto found = std::ranges::find(head.recent, id, &change_record::id);
    return found == head.recent.end() ? std::nullopt : std::optional{*found};
}

bool remembers_since(const config_head& head, config_revision revision)
{
    return revision >= head.revision ||
           (!head.recent.empty() && head.recent.front().revision.value <= revision.value + 1);
}

std::optional<change_record> find_conflict(const config_head& head, config_revision base,
                                           const std::vector<std::string>& touches)
{
    const auto collides = [&](const change_record& record) {
        return record.revision > base &&
               std::ranges::any_of(record.touches, [&](const std::string& theirs) {
                   return std::ranges::find(touches, theirs) != touches.end();
               });
    };
    const auto found = std::find_if(head.recent.rbegin(), head.recent.rend(), collides);
    return found == head.recent.rend() ? std::nullopt : std::optional{*found};
}

void remember_change(config_head& head, change_record record)
{
    head.recent.push_back(std::move(record));
    while (head.recent.size() > max_recent_changes) {
        head.recent_since_us = std::max(head.recent_since_us, head.recent.front().at_us);
        head.recent.erase(head.recent.begin());
    }
}

config_head head_delta(const config_head& head, config_revision base)
{
    config_head delta;
    delta.revision = head.revision;
    delta.recent_since_us = head.recent_since_us;
    delta.retired = head.retired;
    std::ranges::copy_if(head.parts, std::inserter(delta.parts, delta.parts.end()),
                         [&](const auto& part) { return part.second.revision > base; });
    std::ranges::copy_if(head.recent, std::back_inserter(delta.recent),
                         [&](const change_record& record) { return record.revision > base; });
    return delta;
}

config_head apply_delta(const config_head& base, const config_head& delta)
{
    config_head head = base;
    head.revision = delta.revision;
    head.retired = delta.retired;
    for (const auto& [name, ref] : delta.parts) {
        head.parts[name] = ref;
    }
    for (const auto& record : delta.recent) {
        for (const auto& name : record.touches) {
            if (!delta.parts.contains(name)) {
                head.parts.erase(name);
            }
        }
        remember_change(head, record);
    }
    head.recent_since_us = std::max(head.recent_since_us, delta.recent_since_us);
    return head;
}

} // namespace sniperock
