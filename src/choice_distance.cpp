/** @file choice_distance.cpp Measures how far other failure domains are. */
#include "choice_distance.hpp"

#include "choice_score.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** Weight of the newest probe: the average covers about 30, so that a slow one moves a choice by
 * little. */
constexpr double newest_weight = 1.0 / 32;
/** A probe that took longer than this multiple of the average counts as that long: it waited for a
 * process, which says nothing about the distance. */
constexpr double max_factor = 3;
/** Maximum number of failure domains with an average; more than any region has. */
constexpr std::size_t max_domains = 64;

} // namespace

void domain_distances::record(std::string_view domain, nanoseconds took)
{
    const double took_ms = std::chrono::duration<double, std::milli>{took}.count();
    const auto found = averages_.find(domain);
    if (found != averages_.end()) {
        auto& average = found->second;
        average += newest_weight * (std::min(took_ms, average * max_factor) - average);
    }
    else if (averages_.size() < max_domains) {
        averages_.emplace(domain, took_ms);
    }
}

double domain_distances::between_ms(std::string_view home, std::string_view other) const
{
    const auto near = averages_.find(home);
    const auto far = averages_.find(other);
    if (near == averages_.end() || far == averages_.end()) {
        return usual_cross_domain_ms;
    }
    return std::max(far->second - near->second, 0.0);
}

} // namespace sniperock
