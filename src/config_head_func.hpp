/** @file config_head_func.hpp Reads, writes and searches the head object. */
#pragma once

#include "config_head_type.hpp"

#include <string_view>

namespace sniperock {

/** The head as JSON text. */
std::string format_head(const config_head& head);
/** Parses a head. @throws invalid_input */
config_head parse_head(const std::string& json, const std::string& source);

/** Digest of a part's content, as in part_ref::digest. */
std::string content_digest(std::string_view content);
/** Digest over names and digests of all parts; equal when the configurations are equal. */
std::string parts_digest(const config_head& head);
/** Size of all parts in bytes. */
std::uint64_t parts_bytes(const config_head& head);
/** Key of a part's object. */
std::string part_key(const std::string& name, const part_ref& ref);
/** Name of a service's part. */
std::string service_part(const std::string& service);

/** The change with this id, if the head remembers it. */
std::optional<change_record> find_change(const config_head& head, const std::string& id);
/** True if the head's list reaches back to the change after @p revision. */
bool remembers_since(const config_head& head, config_revision revision);
/** The newest change after @p base that touches one of @p touches. */
std::optional<change_record> find_conflict(const config_head& head, config_revision base,
                                           const std::vector<std::string>& touches);
/** Appends a change and forgets the oldest beyond the bound. */
void remember_change(config_head& head, change_record record);

/** What the head says since @p base: only later refs and changes. */
config_head head_delta(const config_head& head, config_revision base);
/** Joins a delta to the head it was made against. */
config_head apply_delta(const config_head& base, const config_head& delta);

} // namespace sniperock
