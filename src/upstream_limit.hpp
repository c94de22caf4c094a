/** @file upstream_limit.hpp Tracks the request rate that an upstream advertises as its limit. */
#pragma once

#include "enum_table.hpp"
#include "random_type.hpp"
#include "upstream_registry.hpp"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace sniperock {

/** How this VM learned of an upstream's limit. */
enum class limit_source : std::uint8_t {
    /** The answer to a health probe. */
    probe,
    /** The answer to a request that was executed. */
    answer,
    /** The report of another VM. */
    peer,
};

template <>
inline constexpr std::array enum_names<limit_source>{
    enum_name<limit_source>{limit_source::probe, "probe"},
    enum_name<limit_source>{limit_source::answer, "answer"},
    enum_name<limit_source>{limit_source::peer, "peer"},
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

/** What a VM reports to others about the limit of an upstream. */
struct limit_report {
    std::string upstream_id;
    /** Requests per second; empty if the limit has ended. */
    std::optional<double> per_s;
    /** Whether answers to probes, or to requests, advertise it. */
    bool in_probes = false;
    bool in_answers = false;
    /** Time since an answer showed it. */
    milliseconds age{0};
};

/** Reports on up to @p max_reports random upstreams of which an answer, to this VM or another one,
 * has shown the limit or its end in the last seconds. */
std::vector<limit_report> recent_limits(const upstream_registry& registry, std::size_t max_reports,
                                        random_engine& random, local_time now);

/** Applies the report of another VM, if it is newer than what this VM knows. VMs that were not told
 * by the upstream so keep to its limit, and those whose share excludes it learn of the end. */
void apply_limit_report(const upstream_registry& registry, const limit_report& report,
                        local_time now);

/** The limit that an upstream advertises, in requests per second; empty if there is none. */
inline std::optional<double> advertised_limit(const upstream& item)
{
    return item.limit ? item.limit->per_s : std::nullopt;
}

} // namespace sniperock
