/** @file config_difference.hpp Differences of two snapshots as lines of text. */
#pragma once

#include "config_type.hpp"

#include <string>
#include <vector>

namespace sniperock {

/** One line for each element that was added (+), removed (-) or changed (~). */
std::vector<std::string> list_differences(const config_snapshot& before,
                                          const config_snapshot& after);

} // namespace sniperock
