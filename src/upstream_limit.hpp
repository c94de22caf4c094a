/** @file upstream_limit.hpp Tracks the request rate that an upstream advertises as its limit. */
#pragma once

#include "enum_table.hpp"
#include "upstream_type.hpp"

#include <array>
#include <optional>

namespace sniperock {

/** How this VM learned of an upstream's limit. */
enum class limit_source : std::uint8_t {
    /** The answer to a health probe. */
    probe,
    /** The answer to a request that was executed. */
    answer,
};

template <>
inline constexpr std::array enum_names<limit_source>{
    enum_name<limit_source>{limit_source::probe, "probe"},
    enum_name<limit_source>{limit_source::answer, "answer"},
};

/** What an answer of an upstream says about its limit. */
struct limit_observation {
    /** Requests per second; empty if the answer advertises no limit. */
    std::optional<double> per_s;
    limit_source source = limit_source::answer;
    /** When the request was sent to which this is the answer. */
    local_time sent_at;
};

/**
 * Updates the limit of an upstream from an answer; logs the begin, the end and a change of it. An
 * answer without a limit ends it only if its request was sent after the limit was last advertised,
 * and if answers of that source have advertised it before.
 */
void observe_limit(upstream& item, const limit_observation& observation, local_time now);

/** The limit that an upstream advertises, in requests per second; empty if there is none. */
inline std::optional<double> advertised_limit(const upstream& item)
{
    return item.limit ? item.limit->per_s : std::nullopt;
}

} // namespace sniperock
