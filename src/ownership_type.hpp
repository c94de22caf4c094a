/** @file ownership_type.hpp What the ownership of servers means to the dispatcher. */
#pragma once

#include "clock_type.hpp"
#include "config_type.hpp"
#include "strong_id.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sniperock {

/** A permit that another owner granted and that may still be in use. */
struct outstanding_permit {
    permit_id permit;
    /** Vm that holds the call. */
    std::string holder;
    /** The server must not run the call past this. */
    wall_time fence;
    /** Plan of the call, which counts against the plan's limits. */
    std::string plan;
};

/** State of one server as its owner gives it up. */
struct server_handover {
    server_key server;
    /** The concurrency limit learned so far. */
    std::uint32_t limit = 1;
    std::vector<outstanding_permit> outstanding;
    /** Last active probe that the server's probe budget paid for; 1970 if there was none. */
    wall_time last_probe;
    /** The next owner uses the server's part of the plans' limits from then on. */
    wall_time limits_from;
};

/** How this vm came to own a server. */
enum class takeover {
    /** The former owner handed it over with what is outstanding. */
    handed_over,
    /** The former owner is fenced but said nothing: treat the server as cold. */
    fenced,
    /** Nobody owned it before. */
    first,
};

/** A server that this vm owns from now on. */
struct gained_server {
    std::string service;
    server_entry entry;
    takeover how = takeover::first;
    server_handover state;
    /** Fenced takeover only: permits of the former owner may be in use until then. */
    wall_time old_permits_until;
};

/** Who owns what, as far as this vm knows; replaced whole on each change. */
struct ownership_view {
    epoch_number epoch;
    /** Owner of every server in service; absent if there is no candidate. */
    std::map<server_key, std::string> owners;
};

} // namespace sniperock
