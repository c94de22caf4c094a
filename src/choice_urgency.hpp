/** @file choice_urgency.hpp By which requests are compared when there is room for some only. */
#pragma once

#include <compare>
#include <limits>

namespace sniperock {

/** Priority of the account of a request that has none. No quota bounds such requests, so that they
 * give way to those of accounts. */
inline constexpr int no_account_priority = std::numeric_limits<int>::max();

/** The priorities of a request; the lower value is the more urgent one. The priority of the account
 * goes before that of the route. */
struct request_urgency {
    /** 0 for all requests if the configuration names no accounts. */
    int account = 0;
    int route = 0;

    friend auto operator<=>(const request_urgency&, const request_urgency&) = default;
};

} // namespace sniperock
