/** @file choice_domain.hpp Decides whether a request leaves the failure domain of its VM. */
#pragma once

#include "choice_score.hpp"
#include "enum_table.hpp"
#include "random_type.hpp"

#include <array>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/** Why upstreams in other failure domains are sampled for a request. */
enum class domain_reason {
    /** They are not; only upstreams at home are. */
    home,
    /** Now and then, so that others stay known and their connections open. */
    tour,
    /** No slot is expected to be free at home. */
    full,
    /** The free ones at home are slowed or cold. */
    slow,
    /** Requests fail at home. */
    failing,
    /** Too few upstreams are at home for the requests that arrive there. */
    small,
    /** No upstream at home is usable. */
    gone,
    /** An earlier round or attempt of the request has not succeeded. */
    searched,
    /** The choice does not regard failure domains. */
    any,
};

template <>
inline constexpr std::array enum_names<domain_reason>{
    enum_name<domain_reason>{domain_reason::home, "home"},
    enum_name<domain_reason>{domain_reason::tour, "tour"},
    enum_name<domain_reason>{domain_reason::full, "full"},
    enum_name<domain_reason>{domain_reason::slow, "slow"},
    enum_name<domain_reason>{domain_reason::failing, "failing"},
    enum_name<domain_reason>{domain_reason::small, "small"},
    enum_name<domain_reason>{domain_reason::gone, "gone"},
    enum_name<domain_reason>{domain_reason::searched, "searched"},
    enum_name<domain_reason>{domain_reason::any, "any"},
};

/** Usable upstreams of a service, as counted in the registry. */
struct domain_counts {
    std::size_t home = 0;
    std::size_t away = 0;
};

/** A request whose sample of upstreams is to be drawn. */
struct domain_request {
    const std::string& service;
    const request_estimate& estimate;
    /** Target latency of the route in ms. */
    double target_ms = 0;
    /** Number of upstreams in a sample. */
    std::size_t sample_size = 0;
    domain_counts counts;
    /** An earlier round or attempt of this request has not succeeded. */
    bool searched = false;
};

/** Where the sample for a request is drawn. */
struct domain_plan {
    /** Part of the sample that is drawn in other failure domains, 0 to 1. */
    double away_share = 0;
    domain_reason reason = domain_reason::home;
};

/**
 * Decides how much of a service's requests look outside the failure domain of this VM.
 *
 * Keeps what samples and attempts have shown of each service in each domain lately. From that it
 * computes what a request is expected to take at home and elsewhere; the difference, less the
 * distance and the cost of the bytes, is the gain from leaving. The part of a sample that is drawn
 * elsewhere grows smoothly with the gain, up to the part of the free upstreams that are there.
 * Which upstream of the sample gets the request is decided by its rank, so that a request leaves
 * only if it gains itself.
 */
class domain_chooser {
public:
    /** Where the sample for a request is drawn.
     * @param all candidates of the service; those elsewhere know their distance. */
    domain_plan plan(const domain_request& request, std::span<const candidate> all,
                     random_engine& random, local_time now);
    /** Selects the candidates to sample: as many as the plan says from other failure domains, those
     * with the most room likeliest. Suspect candidates are kept beside them. */
    [[nodiscard]] std::vector<candidate> draw(const domain_request& request,
                                              const domain_plan& plan,
                                              std::span<const candidate> all, random_engine& random,
                                              local_time now) const;
    /** Adds a candidate with a fresh report.
     * @param open it has a free slot, and no limit excludes it. */
    void observe(const std::string& service, const candidate& option, bool open,
                 const request_estimate& request, local_time now);
    /** Adds the end of an attempt at an upstream in @p domain. */
    void record_end(const std::string& service, std::string_view domain, bool failed,
                    local_time now);
    /** Part of the samples of a service that is drawn elsewhere for lack of room at home. */
    [[nodiscard]] double away_share(const std::string& service) const;

private:
    /** What is known of a service's upstreams in one failure domain; moving averages. */
    struct domain_load {
        /** Share of the upstreams with a free slot, and of those that would also be fast. */
        double open;
        double fast;
        /** Expected time at an open one that is not fast, in units of the work. */
        double slow_factor;
        /** Share of the attempts that fail. */
        double failing;
        local_time observed_at;
        local_time ended_at;
    };
    struct service_state {
        std::map<std::string, domain_load, std::less<>> domains;
        double away_share = 0;
        local_time moved_at;
        /** The begin of leaving was logged, its end was not. */
        bool leaving = false;
        local_time logged_at;
    };
    /** Parts of an expected time, in units of the work. */
    struct domain_cost {
        double full = 0;
        double slow = 0;
        double failing = 0;
        [[nodiscard]] double total() const { return 1 + full + slow + failing; }
    };

    service_state& state_of(const std::string& service);
    static domain_load* load_of(service_state& state, std::string_view domain);
    [[nodiscard]] static domain_load current(const service_state& state, std::string_view domain,
                                             local_time now);
    static domain_cost cost_of(const domain_load& load, std::size_t looked_at,
                               const domain_request& request);
    static domain_reason reason_of(const domain_cost& cost);
    static double overflow_target(const service_state& state, const domain_request& request,
                                  std::span<const candidate> all, domain_reason& reason,
                                  local_time now);
    static void move_share(service_state& state, double target, local_time now);
    static void log_change(const std::string& service, service_state& state, domain_reason reason,
                           local_time now);

    std::map<std::string, service_state, std::less<>> services_;
};

} // namespace sniperock
