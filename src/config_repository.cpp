/** @file config_repository.cpp The next head and the record of a change. */
#include "config_repository.hpp"

namespace sniperock {
namespace {

/** Digest over the parts that a change sets. */
std::string digest_of(const config_head& head, const tested_change& tested)
{
    std::string all;
    for (const auto& [name, text] : tested.parts) {
        const auto ref = head.parts.find(name);
        all += name + "=" + (ref == head.parts.end() ? "" : ref->second.digest) + "\n";
    }
    return content_digest(all);
}

} // namespace

change_record make_record(const change_request& request, const tested_change& tested,
                          const config_head& before, const config_head& after, wall_time now)
{
    change_record record;
    record.id = request.id;
    record.who = request.who;
    record.what = describe_change(request.change);
    record.revision = after.revision;
    record.at_us = to_unix_us(now);
    record.touches = tested.touches;
    record.supersedes = request.supersedes;
    record.request = request_digest(request.change);
    record.before = digest_of(before, tested);
    record.after = digest_of(after, tested);
    record.bytes_before = parts_bytes(before);
    record.bytes_after = parts_bytes(after);
    return record;
}

config_head next_head(const config_head& before, const tested_change& tested,
                      const std::string& object)
{
    config_head head = before;
    ++head.revision.value;
    for (const auto& [name, text] : tested.parts) {
        const auto old = head.parts.find(name);
        if (old != head.parts.end()) {
            head.retired.push_back({part_key(name, old->second), head.revision});
            head.parts.erase(old);
        }
        if (!text.empty()) {
            head.parts[name] = {object, content_digest(text), head.revision, text.size()};
        }
    }
    return head;
}

std::string format_bounded_head(config_head& head)
{
    auto text = format_head(head);
    while (text.size() > max_object_bytes && !head.recent.empty()) {
        head.recent_since_us = std::max(head.recent_since_us, head.recent.front().at_us);
        head.recent.erase(head.recent.begin());
        text = format_head(head);
    }
    return text;
}

} // namespace sniperock
