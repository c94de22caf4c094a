/** @file peer_type.hpp Messages between entry vms. */
#pragma once

#include "enum_table.hpp"
#include "strong_id.hpp"

#include <array>
#include <concepts>
#include <cstdint>
#include <functional>
#include <string>

namespace sniperock {

/** What a message between entry vms is about; the number is part of the protocol. */
enum class peer_message_kind : std::uint8_t {
    heartbeat = 1,
    heartbeat_reply = 2,
    handover = 3,
    handover_reply = 4,
    permit_request = 10,
    permit_reply = 11,
    permit_release = 12,
    permit_hint = 13,
    config_offer = 20,
    config_request = 21,
    config_parts = 22,
    claim_request = 30,
    claim_reply = 31,
    claim_result = 32,
};

template <>
inline constexpr std::array enum_names<peer_message_kind>{
    enum_name<peer_message_kind>{peer_message_kind::heartbeat, "heartbeat"},
    enum_name<peer_message_kind>{peer_message_kind::heartbeat_reply, "heartbeat_reply"},
    enum_name<peer_message_kind>{peer_message_kind::handover, "handover"},
    enum_name<peer_message_kind>{peer_message_kind::handover_reply, "handover_reply"},
    enum_name<peer_message_kind>{peer_message_kind::permit_request, "permit_request"},
    enum_name<peer_message_kind>{peer_message_kind::permit_reply, "permit_reply"},
    enum_name<peer_message_kind>{peer_message_kind::permit_release, "permit_release"},
    enum_name<peer_message_kind>{peer_message_kind::permit_hint, "permit_hint"},
    enum_name<peer_message_kind>{peer_message_kind::config_offer, "config_offer"},
    enum_name<peer_message_kind>{peer_message_kind::config_request, "config_request"},
    enum_name<peer_message_kind>{peer_message_kind::config_parts, "config_parts"},
    enum_name<peer_message_kind>{peer_message_kind::claim_request, "claim_request"},
    enum_name<peer_message_kind>{peer_message_kind::claim_reply, "claim_reply"},
    enum_name<peer_message_kind>{peer_message_kind::claim_result, "claim_result"},
};

/** One life of an entry vm's process. */
struct peer_identity {
    std::string vm;
    incarnation life;

    friend auto operator<=>(const peer_identity&, const peer_identity&) = default;
};

/** Where to reach an entry vm. */
struct peer_address {
    std::string vm;
    /** address:port. */
    std::string endpoint;

    friend auto operator<=>(const peer_address&, const peer_address&) = default;
};

/** A message that was authenticated. */
struct peer_message {
    peer_message_kind kind{};
    peer_identity from;
    /** msgpack of the struct that belongs to the kind. */
    std::string payload;
};

/** Called on the link's receiving thread; must not block. */
using peer_handler = std::function<void(const peer_message&)>;

/** Sends messages to other entry vms; a message may be lost, late or doubled, never altered. */
template <typename T>
concept peer_sender =
    requires(T& link, const std::string& vm, peer_message_kind kind, std::string payload) {
        {
            link.send(vm, kind, payload)
        } -> std::same_as<bool>;
    };

} // namespace sniperock
