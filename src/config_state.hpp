/** @file config_state.hpp One revision with its parts' contents, checked against the head. */
#pragma once

#include "config_head_type.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sniperock {

/** Contents of parts by part name. */
using part_texts = std::map<std::string, std::shared_ptr<const std::string>>;

/** A revision as recorded: head, contents and the values made from them; never changed once made.
 */
struct config_state {
    config_head head;
    part_texts texts;
    /** Without changes that are not recorded. */
    std::shared_ptr<const config_snapshot> snapshot;
};

/** The state before anything was accepted. */
std::shared_ptr<const config_state> empty_state();

/** Names of the parts of @p head whose content is neither in @p known nor in @p fetched. */
std::vector<std::string> missing_parts(const config_head& head, const config_state& known,
                                       const part_texts& fetched);

/**
 * Makes the state of @p head out of unchanged parts of @p known and @p fetched contents.
 * @throws invalid_input if a content is missing, has another digest than the head says, or has
 * faults.
 */
std::shared_ptr<const config_state> make_state(config_head head, const config_state& known,
                                               const part_texts& fetched);

/** All parts of a snapshot as text, by part name. */
std::map<std::string, std::string> format_parts(const config_snapshot& snapshot);

} // namespace sniperock
