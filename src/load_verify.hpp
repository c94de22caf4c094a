/** @file load_verify.hpp Asks a stand-in server whether calls told as not run did run. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sniperock {

/** What the stand-in server's process knows of some calls. */
struct verification {
    std::uint64_t asked = 0;
    std::uint64_t ran = 0;
};

/**
 * Asks the stand-in server at @p address (IP:PORT) about the request ids.
 * @throws std::runtime_error if it does not answer.
 */
verification verify_not_run(const std::string& address, const std::vector<std::string>& ids);

} // namespace sniperock
