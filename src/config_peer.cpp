/** @file config_peer.cpp Unrecorded changes on the wire, and answers to requests. */
#include "config_exchange.hpp"
#include "config_peer_type.hpp"
#include "hash_func.hpp"

#include <algorithm>
#include <iterator>

namespace sniperock {
namespace {

/** Most content in one message, in bytes. */
constexpr std::size_t max_parts_bytes = 1'500'000;

/** Names whose content a request asks for. */
std::vector<std::string> wanted_names(const config_request_message& request,
                                      const config_head& delta)
{
    if (!request.names.empty() || request.whole_head) {
        return request.names;
    }
    std::vector<std::string> names;
    std::ranges::transform(delta.parts, std::back_inserter(names),
                           [](const auto& part) { return part.first; });
    return names;
}

} // namespace

std::vector<unrecorded_wire> to_wire(const unrecorded_changes& changes)
{
    std::vector<unrecorded_wire> wire;
    std::ranges::transform(changes, std::back_inserter(wire), [](const unrecorded_change& item) {
        return unrecorded_wire{item.id,     std::string{to_name(item.kind)},
                               item.target, item.by,
                               item.at_us,  item.base_revision,
                               item.force,  item.supersedes};
    });
    return wire;
}

unrecorded_changes from_wire(const std::vector<unrecorded_wire>& changes)
{
    unrecorded_changes result;
    for (const auto& item : changes) {
        const auto kind = from_name<change_kind>(item.kind);
        if (kind && is_availability_change(*kind)) {
            result.push_back({item.id, *kind, item.target, item.by, item.at_us, item.base_revision,
                              item.force, item.supersedes});
        }
    }
    return result;
}

config_parts_message answer_request(const config_state& state,
                                    const config_request_message& request)
{
    const config_revision base{request.revision};
    const bool as_delta =
        !request.whole_head && base.value > 0 && remembers_since(state.head, base);
    config_parts_message answer;
    answer.base = as_delta ? base.value : 0;
    answer.digest = parts_digest(state.head);
    const auto head = as_delta ? head_delta(state.head, base) : state.head;
    answer.head = format_head(head);
    std::size_t bytes = 0;
    for (const auto& name : wanted_names(request, head)) {
        const auto text = state.texts.find(name);
        if (text == state.texts.end() || bytes + text->second->size() > max_parts_bytes) {
            continue;
        }
        bytes += text->second->size();
        answer.parts.push_back({name, *text->second});
    }
    return answer;
}

std::size_t rendezvous_rank(const std::string& self, const std::vector<std::string>& others,
                            const std::string& topic)
{
    const auto weight = [&](const std::string& vm) {
        return std::pair{stable_hash(vm + "/" + topic), vm};
    };
    const auto own = weight(self);
    return static_cast<std::size_t>(std::ranges::count_if(
        others, [&](const std::string& other) { return other != self && weight(other) > own; }));
}

} // namespace sniperock
