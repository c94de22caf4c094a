/** @file config_peer_type.hpp What entry vms tell each other about the configuration. */
#pragma once

#include "config_pending.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace sniperock {

/** An unrecorded change on the wire. */
struct unrecorded_wire {
    std::string id;
    std::string kind;
    std::string target;
    std::string by;
    std::int64_t at_us = 0;
    std::uint64_t base_revision = 0;
    bool force = false;
    std::vector<std::string> supersedes;
    MSGPACK_DEFINE(id, kind, target, by, at_us, base_revision, force, supersedes)
};

/** config_offer: what the sender has in force. */
struct config_offer_message {
    std::uint64_t revision = 0;
    /** True if the sender's last store call was answered. */
    bool store_answers = false;
    std::vector<unrecorded_wire> unrecorded;
    MSGPACK_DEFINE(revision, store_answers, unrecorded)
};

/** config_request: asks for what changed since a revision, or for parts by name. */
struct config_request_message {
    /** Revision that the sender has; 0 if none. */
    std::uint64_t revision = 0;
    /** Asks for the whole head, without contents. */
    bool whole_head = false;
    /** Parts whose content is asked for; empty asks for those that changed. */
    std::vector<std::string> names;
    MSGPACK_DEFINE(revision, whole_head, names)
};

/** The content of one part. */
struct part_wire {
    std::string name;
    std::string text;
    MSGPACK_DEFINE(name, text)
};

/** config_parts: answers a request; contents are bounded, the rest is asked for by name. */
struct config_parts_message {
    /** Revision that @ref head is a delta to; 0 if it is whole. */
    std::uint64_t base = 0;
    /** Digest over all parts of the sender's head. */
    std::string digest;
    std::string head;
    std::vector<part_wire> parts;
    MSGPACK_DEFINE(base, digest, head, parts)
};

std::vector<unrecorded_wire> to_wire(const unrecorded_changes& changes);
/** Changes with an unknown kind, from a newer process, are left out. */
unrecorded_changes from_wire(const std::vector<unrecorded_wire>& changes);

} // namespace sniperock
