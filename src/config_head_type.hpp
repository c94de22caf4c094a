/** @file config_head_type.hpp The head object: which parts make up a revision, and who changed
 * what.
 */
#pragma once

#include "config_type.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sniperock {

/** Key of the head object, whose conditional update is the one point of acceptance. */
inline constexpr const char* config_head_key = "config/head";
/** Keys of part objects begin with this; part name and object name follow. */
inline constexpr const char* config_part_prefix = "config/part/";

/** Names of the parts; a service's part is service_part_prefix and the service's name. */
namespace part_name {
inline constexpr const char* plans = "plans";
inline constexpr const char* allowances = "allowances";
inline constexpr const char* availability = "availability";
inline constexpr const char* admins = "admins";
inline constexpr const char* service_prefix = "service.";
} // namespace part_name

/** Changes that the head remembers; idempotency by change id holds for these. */
inline constexpr std::size_t max_recent_changes = 256;
/** Revisions after which a part that was replaced is removed from the store. */
inline constexpr std::uint64_t part_retention_revisions = 16;

/** Where one part's present content is. */
struct part_ref {
    /** Last element of the part object's key. */
    std::string object;
    /** First 128 bits of the content's SHA-256, in lower-case hex. */
    std::string digest;
    /** Revision that changed the part last. */
    config_revision revision;
    /** Size of the content. */
    std::uint64_t bytes = 0;

    friend bool operator==(const part_ref&, const part_ref&) = default;
};

/** One accepted change. */
struct change_record {
    std::string id;
    std::string who;
    /** Command and target. */
    std::string what;
    config_revision revision;
    /** When it was accepted, in microseconds since 1970. */
    std::int64_t at_us = 0;
    /** Elements that it changed: part names, "domain.NAME" or "vm.NAME". */
    std::vector<std::string> touches;
    /** Ids of changes that had not been recorded and that this one replaces. */
    std::vector<std::string> supersedes;
    /** Digest of the request, to tell a repetition from another request under the same id. */
    std::string request;
    /** Digest over the parts before and after. */
    std::string before;
    std::string after;
    /** Size of all parts before and after. */
    std::uint64_t bytes_before = 0;
    std::uint64_t bytes_after = 0;

    friend bool operator==(const change_record&, const change_record&) = default;
};

/** A part object that no present revision uses. */
struct retired_part {
    std::string key;
    /** Revision that replaced it. */
    config_revision revision;

    friend bool operator==(const retired_part&, const retired_part&) = default;
};

/** The head object's content. */
struct config_head {
    config_revision revision;
    std::map<std::string, part_ref> parts;
    /** Oldest first. */
    std::vector<change_record> recent;
    /** When the newest change that is no longer in @ref recent was accepted; microseconds. */
    std::int64_t recent_since_us = 0;
    std::vector<retired_part> retired;
};

} // namespace sniperock
