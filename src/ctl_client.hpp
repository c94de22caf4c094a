/** @file ctl_client.hpp Calls the administration API of any entry vm that answers. */
#pragma once

#include "clock_type.hpp"

#include <optional>
#include <string>
#include <vector>

namespace sniperock {

/** Where to ask, and with which key. */
struct ctl_target {
    /** address:port of administration APIs, tried in turn. */
    std::vector<std::string> servers;
    std::string key;
};

/** A request to the administration API. */
struct ctl_request {
    /** GET, PUT or POST. */
    std::string method;
    /** Path with its query. */
    std::string path;
    std::string body;
    /** Sent as X-Change-Id; makes a write safe to repeat. */
    std::string change_id;
    /** Revision for If-Match. */
    std::optional<std::uint64_t> if_revision;
};

/** An answer of the administration API. */
struct ctl_reply {
    int status = 0;
    std::string body;
    /** Entity tag: the revision of a list. */
    std::string etag;
    /** The server that answered. */
    std::string server;
};

/** How a request ended. */
struct ctl_outcome {
    /** Empty if no server answered. */
    std::optional<ctl_reply> reply;
    /** True if a write was sent whose answer never came, and no later answer settled it. */
    bool unsure = false;
    /** One line for each server that failed. */
    std::vector<std::string> failures;
};

/**
 * Sends a request to one server after the other until one settles it. A write goes to the next
 * server under the same change id, so that it runs once at most.
 */
ctl_outcome send_request(const ctl_target& target, const ctl_request& request);

} // namespace sniperock
