/** @file ownership_wire.hpp Ownership messages as msgpack, and the epoch object as JSON. */
#pragma once

#include "epoch_type.hpp"
#include "ownership_type.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/** Servers that a former owner gives up, all to one vm. */
struct handover_message {
    /** Names this message in the reply; unique for the sender's incarnation. */
    std::uint64_t id = 0;
    /** The epoch that the sender has adopted. */
    epoch_number epoch;
    std::vector<server_handover> servers;
};

/** Acknowledges a hand-over. */
struct handover_reply {
    std::uint64_t id = 0;
};

std::string encode_heartbeat(const heartbeat& message);
/** Empty if it is malformed. */
std::optional<heartbeat> decode_heartbeat(std::string_view payload);
std::string encode_handover(const handover_message& message);
/** Empty if it is malformed. */
std::optional<handover_message> decode_handover(std::string_view payload);
std::string encode_handover_reply(const handover_reply& message);
/** Empty if it is malformed. */
std::optional<handover_reply> decode_handover_reply(std::string_view payload);

/** The epoch object as JSON text. */
std::string format_epoch(const epoch_object& object);
/** Parses an epoch object; unknown fields are ignored. Empty if it is malformed. */
std::optional<epoch_object> parse_epoch(std::string_view text);

} // namespace sniperock
