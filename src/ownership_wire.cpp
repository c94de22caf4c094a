/** @file ownership_wire.cpp Ownership messages as msgpack, and the epoch object as JSON. */
#include "ownership_wire.hpp"
#include "peer_codec.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ranges>

namespace sniperock {
namespace {

/** Schema of the stored epoch object. */
constexpr int epoch_schema = 1;

struct wire_heartbeat {
    std::uint64_t question = 0;
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    std::uint64_t assigned = 0;
    bool leaving = false;
    std::uint64_t answered_question = 0;
    std::uint64_t answered_life = 0;
    bool vouched = false;
    std::vector<std::uint32_t> silent;
    std::string failure_domain;
    std::string peer_endpoint;
    std::string newer;
    MSGPACK_DEFINE(question, epoch, revision, assigned, leaving, answered_question, answered_life,
                   vouched, silent, failure_domain, peer_endpoint, newer)
};

struct wire_permit {
    std::uint64_t permit = 0;
    std::string holder;
    std::int64_t fence_us = 0;
    std::string plan;
    MSGPACK_DEFINE(permit, holder, fence_us, plan)
};

struct wire_server {
    std::string service;
    std::string server;
    std::uint32_t limit = 1;
    std::vector<wire_permit> outstanding;
    std::int64_t last_probe_us = 0;
    std::int64_t limits_from_us = 0;
    MSGPACK_DEFINE(service, server, limit, outstanding, last_probe_us, limits_from_us)
};

struct wire_handover {
    std::uint64_t id = 0;
    std::uint64_t epoch = 0;
    std::vector<wire_server> servers;
    MSGPACK_DEFINE(id, epoch, servers)
};

struct wire_handover_reply {
    std::uint64_t id = 0;
    MSGPACK_DEFINE(id)
};

wire_server to_wire(const server_handover& state)
{
    wire_server wire;
    wire.service = state.server.service;
    wire.server = state.server.server;
    wire.limit = state.limit;
    wire.last_probe_us = to_unix_us(state.last_probe);
    wire.limits_from_us = to_unix_us(state.limits_from);
    for (const auto& permit : state.outstanding) {
        wire.outstanding.push_back(
            {permit.permit.value, permit.holder, to_unix_us(permit.fence), permit.plan});
    }
    return wire;
}

server_handover from_wire(const wire_server& wire)
{
    server_handover state;
    state.server = {wire.service, wire.server};
    state.limit = wire.limit;
    state.last_probe = from_unix_us(wire.last_probe_us);
    state.limits_from = from_unix_us(wire.limits_from_us);
    for (const auto& permit : wire.outstanding) {
        state.outstanding.push_back(
            {permit_id{permit.permit}, permit.holder, from_unix_us(permit.fence_us), permit.plan});
    }
    return state;
}

nlohmann::json membership_json(const epoch_membership& epoch)
{
    nlohmann::json members = nlohmann::json::array();
    for (const auto& member : epoch.members) {
        members.push_back({{"vm", member.vm},
                           {"incarnation", member.life.value},
                           {"failure_domain", member.failure_domain},
                           {"peer_endpoint", member.peer_endpoint}});
    }
    return {
        {"number", epoch.number.value}, {"spread", epoch.spread}, {"members", std::move(members)}};
}

epoch_membership parse_membership(const nlohmann::json& text)
{
    epoch_membership epoch;
    epoch.number.value = text.at("number");
    epoch.spread = std::max(1U, text.at("spread").get<std::uint32_t>());
    for (const auto& item : text.at("members")) {
        epoch.members.push_back({item.at("vm"),
                                 incarnation{item.at("incarnation").get<std::uint64_t>()},
                                 item.at("failure_domain"), item.at("peer_endpoint")});
    }
    std::ranges::sort(epoch.members);
    return epoch;
}

bool well_formed(const epoch_object& object)
{
    const auto vms_differ = [](const epoch_membership& epoch) {
        return std::ranges::adjacent_find(epoch.members, {}, &epoch_member::vm) ==
               epoch.members.end();
    };
    return object.current.number.value > 0 && !object.current.members.empty() &&
           vms_differ(object.current) && std::ranges::all_of(object.unfenced, vms_differ) &&
           std::ranges::all_of(object.unfenced, [&](const epoch_membership& earlier) {
               return earlier.number < object.current.number && !earlier.members.empty();
           });
}

} // namespace

std::string encode_heartbeat(const heartbeat& message)
{
    return encode_payload(wire_heartbeat{
        message.question, message.epoch.value, message.revision.value, message.assigned.value,
        message.leaving, message.answered_question, message.answered_life.value, message.vouched,
        message.silent, message.failure_domain, message.peer_endpoint,
        message.newer ? format_epoch(*message.newer) : std::string{}});
}

std::optional<heartbeat> decode_heartbeat(std::string_view payload)
{
    const auto wire = decode_payload<wire_heartbeat>(payload);
    if (!wire) {
        return std::nullopt;
    }
    heartbeat message;
    message.question = wire->question;
    message.epoch.value = wire->epoch;
    message.revision.value = wire->revision;
    message.assigned.value = wire->assigned;
    message.leaving = wire->leaving;
    message.answered_question = wire->answered_question;
    message.answered_life.value = wire->answered_life;
    message.vouched = wire->vouched;
    message.silent = wire->silent;
    message.failure_domain = wire->failure_domain;
    message.peer_endpoint = wire->peer_endpoint;
    if (!wire->newer.empty()) {
        message.newer = parse_epoch(wire->newer);
        if (!message.newer) {
            return std::nullopt;
        }
    }
    return message;
}

std::string encode_handover(const handover_message& message)
{
    wire_handover wire{message.id, message.epoch.value, {}};
    std::ranges::transform(message.servers, std::back_inserter(wire.servers), to_wire);
    return encode_payload(wire);
}

std::optional<handover_message> decode_handover(std::string_view payload)
{
    const auto wire = decode_payload<wire_handover>(payload);
    if (!wire) {
        return std::nullopt;
    }
    handover_message message{wire->id, epoch_number{wire->epoch}, {}};
    std::ranges::transform(wire->servers, std::back_inserter(message.servers), from_wire);
    return message;
}

std::string encode_handover_reply(const handover_reply& message)
{
    return encode_payload(wire_handover_reply{message.id});
}

std::optional<handover_reply> decode_handover_reply(std::string_view payload)
{
    const auto wire = decode_payload<wire_handover_reply>(payload);
    return wire ? std::optional{handover_reply{wire->id}} : std::nullopt;
}

std::string format_epoch(const epoch_object& object)
{
    nlohmann::json unfenced = nlohmann::json::array();
    std::ranges::transform(object.unfenced, std::back_inserter(unfenced), membership_json);
    auto text = membership_json(object.current);
    text["schema"] = epoch_schema;
    text["change_id"] = object.change_id;
    text["unfenced"] = std::move(unfenced);
    return text.dump();
}

std::optional<epoch_object> parse_epoch(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        epoch_object object;
        object.current = parse_membership(json);
        object.change_id = json.at("change_id");
        std::ranges::transform(json.at("unfenced"), std::back_inserter(object.unfenced),
                               parse_membership);
        std::ranges::sort(object.unfenced, {}, &epoch_membership::number);
        return well_formed(object) ? std::optional{std::move(object)} : std::nullopt;
    }
    catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace sniperock
