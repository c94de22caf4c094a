/** @file store_budget.hpp Holds store calls to a rate, the more important ones first. */
#pragma once

#include "clock_type.hpp"
#include "enum_table.hpp"
#include "random_type.hpp"

#include <array>

namespace sniperock {

/** What a store call is for; earlier ones go first when the budget is short. */
enum class store_priority { ownership, configuration, status };

template <>
inline constexpr std::array enum_names<store_priority>{
    enum_name<store_priority>{store_priority::ownership, "ownership"},
    enum_name<store_priority>{store_priority::configuration, "configuration"},
    enum_name<store_priority>{store_priority::status, "status"},
};

/** Kinds of store calls, as counted. */
enum class store_call { read, write, watch, list };

template <>
inline constexpr std::array enum_names<store_call>{
    enum_name<store_call>{store_call::read, "read"},
    enum_name<store_call>{store_call::write, "write"},
    enum_name<store_call>{store_call::watch, "watch"},
    enum_name<store_call>{store_call::list, "list"},
};

/** Rate and burst of one vm's store calls. */
struct store_budget_limits {
    /** Calls a second in the long run. */
    double rate = 20;
    /** Calls at once after a rest; enough to read a whole configuration. */
    double burst = 1'000;
};

/**
 * A token bucket in which each priority leaves a reserve to those before it.
 * Not thread-safe; time is passed in.
 */
class store_budget {
public:
    store_budget(store_budget_limits limits, local_time now);

    /** Takes a token. @return zero if it was taken, else how long to wait before asking again. */
    nanoseconds take(store_priority priority, local_time now);
    /** Tokens left. */
    [[nodiscard]] double tokens() const { return tokens_; }

private:
    store_budget_limits limits_;
    double tokens_;
    local_time last_;
};

/** Bounds of the pauses between tries while the store does not answer. */
struct store_backoff_limits {
    milliseconds first{50};
    milliseconds last{2'000};
};

/** Pauses that double up to a bound, each drawn at random from its upper half. */
class store_backoff {
public:
    store_backoff(store_backoff_limits limits, std::uint64_t seed);

    /** The next pause. */
    milliseconds next();
    /** Begins anew after the store has answered. */
    void reset();

private:
    store_backoff_limits limits_;
    milliseconds pause_;
    random_engine random_;
};

} // namespace sniperock
