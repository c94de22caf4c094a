/** @file choice_domain.cpp Decides whether a request leaves the failure domain of its VM. */
#include "choice_domain.hpp"

#include "event_type.hpp"

#include <algorithm>
#include <cmath>
#include <ranges>
#include <utility>

namespace sniperock {
namespace {

/** Weight of the newest candidate in the averages, which cover about 10: two samples. */
constexpr double newest_weight = 0.1;
/** Weight of the newest attempt in the share that fails: one failure must not empty a domain. */
constexpr double newest_end_weight = 0.05;
/** Time constant with which what was seen is forgotten. Longer than the moments in which single
 * upstreams are slow, and short enough that a domain that was out is tried again. */
constexpr seconds forget_time{4};
/** Assumed of a domain that has not been seen lately: an ordinary one, so that it is looked at. */
constexpr double usual_open = 1;
constexpr double usual_fast = 0.8;
constexpr double usual_slow_factor = 3;
/** An upstream is fast up to this expected time in units of the work: below the last slot's. */
constexpr double max_fast_factor = 1.5;
/** Parts of the expected time at home that leaving has to save, so that requests begin to look
 * elsewhere, and so that they look there as much as they may. A caller does not notice the first,
 * which the moments of single slow upstreams cause; the second is half of the time. */
constexpr double first_gain = 0.1;
constexpr double full_gain = 0.5;
/** Change of the away share per second at most. It may rise to all within a quarter of a second,
 * so that few requests meet a full home; it falls slower, since a home that was just relieved would
 * otherwise be filled at once by all VMs. */
constexpr double max_rise_per_s = 4;
constexpr double max_fall_per_s = 1;
/** An upstream is looked at from home at most this many times as often as by even sampling, so that
 * a few of them are not worn out by the probes and requests of a large domain. */
constexpr double max_concentration = 4;
/** One in this many samples is drawn elsewhere without need: upstreams there keep connections, and
 * new ones get requests, also if no VM is in their domain. */
constexpr int tour_odds = 32;
/** Away shares at which the begin and the end of leaving are logged, and the least time between. */
constexpr double logged_begin = 0.2;
constexpr double logged_end = 0.05;
constexpr seconds min_log_interval{1};
/** Least weight of a full domain when candidates elsewhere are drawn, against 1 of an open one. */
constexpr double min_draw_weight = 0.02;
/** Maximum number of services and of domains of a service with averages; bounded because operators
 * add and remove them at any time. */
constexpr std::size_t max_services = 1024;
constexpr std::size_t max_domains = 64;

double kept_part(local_time since, local_time now)
{
    const std::chrono::duration<double> passed = now - since;
    return std::exp(-std::max(passed.count(), 0.0) /
                    std::chrono::duration<double>{forget_time}.count());
}

void relax(double& value, double usual, double kept)
{
    value = usual + (value - usual) * kept;
}

void update(double& average, double newest, double weight)
{
    average += weight * (newest - average);
}

} // namespace

domain_chooser::service_state& domain_chooser::state_of(const std::string& service)
{
    if (services_.size() >= max_services && !services_.contains(service)) {
        services_.clear();
    }
    return services_[service];
}

/** @return null if too many domains are known. */
domain_chooser::domain_load* domain_chooser::load_of(service_state& state, std::string_view domain)
{
    const auto found = state.domains.find(domain);
    if (found != state.domains.end()) {
        return &found->second;
    }
    if (state.domains.size() >= max_domains) {
        return nullptr;
    }
    const domain_load usual{usual_open, usual_fast, usual_slow_factor, 0, {}, {}};
    return &state.domains.emplace(domain, usual).first->second;
}

/** What is known of a domain, less what has been forgotten until @p now. */
domain_chooser::domain_load domain_chooser::current(const service_state& state,
                                                    std::string_view domain, local_time now)
{
    const auto found = state.domains.find(domain);
    if (found == state.domains.end()) {
        return {usual_open, usual_fast, usual_slow_factor, 0, now, now};
    }
    auto load = found->second;
    const double kept = kept_part(load.observed_at, now);
    relax(load.open, usual_open, kept);
    relax(load.fast, usual_fast, kept);
    relax(load.slow_factor, usual_slow_factor, kept);
    relax(load.failing, 0, kept_part(load.ended_at, now));
    load.observed_at = now;
    load.ended_at = now;
    return load;
}

void domain_chooser::observe(const std::string& service, const candidate& option, bool open,
                             const request_estimate& request, local_time now)
{
    auto& state = state_of(service);
    const auto& domain = option.item->entry.failure_domain;
    auto* const load = load_of(state, domain);
    if (load == nullptr) {
        return;
    }
    const auto ended_at = load->ended_at;
    const double failing = load->failing;
    *load = current(state, domain, now);
    load->ended_at = ended_at;
    load->failing = failing;
    // The distance is no property of the upstream.
    const candidate at_home{option.item, true, option.fresh};
    const double factor =
        expected_ms(at_home, request, now) / std::max(request.work_ms, min_work_ms);
    const bool fast = open && factor <= max_fast_factor;
    update(load->open, open ? 1 : 0, newest_weight);
    update(load->fast, fast ? 1 : 0, newest_weight);
    if (open && !fast) {
        update(load->slow_factor, factor, newest_weight);
    }
}

void domain_chooser::record_end(const std::string& service, std::string_view domain, bool failed,
                                local_time now)
{
    auto* const load = load_of(state_of(service), domain);
    if (load == nullptr) {
        return;
    }
    relax(load->failing, 0, kept_part(load->ended_at, now));
    update(load->failing, failed ? 1 : 0, newest_end_weight);
    load->ended_at = now;
}

double domain_chooser::away_share(const std::string& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.away_share;
}

/** What a request is expected to cost beyond its work if @p looked_at upstreams are sampled. A
 * request that finds no free one is not answered in time. */
domain_chooser::domain_cost domain_chooser::cost_of(const domain_load& load, std::size_t looked_at,
                                                    const domain_request& request)
{
    const auto count = static_cast<double>(looked_at);
    const double none_fast = std::pow(1 - load.fast, count);
    const double none_open = std::min(std::pow(1 - load.open, count), none_fast);
    const double lost = std::max(
        request.target_ms / std::max(request.estimate.work_ms, min_work_ms), load.slow_factor);
    return {none_open * (lost - 1), (none_fast - none_open) * (load.slow_factor - 1),
            load.failing * failure_cost(request.estimate)};
}

domain_reason domain_chooser::reason_of(const domain_cost& cost)
{
    if (cost.failing >= cost.full && cost.failing >= cost.slow) {
        return domain_reason::failing;
    }
    return cost.full >= cost.slow ? domain_reason::full : domain_reason::slow;
}

/** The away share that what is known of home and of the others calls for. */
double domain_chooser::overflow_target(const service_state& state, const domain_request& request,
                                       std::span<const candidate> all, domain_reason& reason,
                                       local_time now)
{
    const auto& home_domain =
        std::ranges::find(all, true, &candidate::same_domain)->item->entry.failure_domain;
    const auto home = current(state, home_domain, now);
    const auto home_sample = std::min(request.sample_size, request.counts.home);
    const auto home_cost = cost_of(home, home_sample, request);
    reason = reason_of(home_cost);
    if (home_cost.total() <= 1 + first_gain) {
        return 0;
    }
    double away_open = 0;
    double away_cost = 0;
    double away_count = 0;
    const auto away_sample = std::min(request.sample_size, request.counts.away);
    for (const auto& option : all) {
        if (option.same_domain) {
            continue;
        }
        const auto load = current(state, option.item->entry.failure_domain, now);
        const double work = std::max(request.estimate.work_ms, min_work_ms);
        const double weight = std::max(load.open, min_draw_weight);
        away_cost += weight * (cost_of(load, away_sample, request).total() +
                               (option.distance_ms + byte_cost_ms(request.estimate)) / work);
        away_open += weight;
        ++away_count;
    }
    const double gain = 1 - away_cost / away_open / home_cost.total();
    const double eagerness = std::clamp((gain - first_gain) / (full_gain - first_gain), 0.0, 1.0);
    const double open_away = away_open / away_count * static_cast<double>(request.counts.away);
    const double open_home =
        std::max(home.open, min_draw_weight) * static_cast<double>(request.counts.home);
    return eagerness * open_away / (open_away + open_home);
}

void domain_chooser::move_share(service_state& state, double target, local_time now)
{
    const std::chrono::duration<double> passed = now - std::exchange(state.moved_at, now);
    const double change = target - state.away_share;
    state.away_share +=
        std::clamp(change, -max_fall_per_s * passed.count(), max_rise_per_s * passed.count());
}

void domain_chooser::log_change(const std::string& service, service_state& state,
                                domain_reason reason, local_time now)
{
    const bool leaving = state.away_share >= (state.leaving ? logged_end : logged_begin);
    if (leaving == state.leaving || now - state.logged_at < min_log_interval) {
        return;
    }
    state.leaving = leaving;
    state.logged_at = now;
    constexpr double percent = 100;
    const auto share = std::to_string(static_cast<int>(state.away_share * percent));
    if (leaving) {
        log_event(
            event::domain_left,
            {{"service", service}, {"reason", std::string{to_name(reason)}}, {"share", share}});
    }
    else {
        log_event(event::domain_kept, {{"service", service}, {"share", share}});
    }
}

domain_plan domain_chooser::plan(const domain_request& request, std::span<const candidate> all,
                                 random_engine& random, local_time now)
{
    if (std::ranges::none_of(all, &candidate::same_domain)) {
        return {1, domain_reason::gone};
    }
    if (std::ranges::all_of(all, &candidate::same_domain)) {
        return {0, domain_reason::home};
    }
    auto& state = state_of(request.service);
    auto reason = domain_reason::home;
    move_share(state, overflow_target(state, request, all, reason, now), now);
    log_change(request.service, state, reason, now);
    const auto home = static_cast<double>(request.counts.home);
    const double home_part = home / (home + static_cast<double>(request.counts.away));
    const double min_away = 1 - max_concentration * home_part;
    domain_plan plan{state.away_share, state.away_share > 0 ? reason : domain_reason::home};
    if (plan.away_share < min_away) {
        plan = {min_away, domain_reason::small};
    }
    if (request.searched && plan.away_share < 1 - home_part) {
        return {1 - home_part, domain_reason::searched};
    }
    // A tour must not cost more than what it is to find out.
    std::uniform_int_distribution<> odds{1, tour_odds};
    if (byte_cost_ms(request.estimate) < request.estimate.work_ms && odds(random) == 1) {
        return {1, domain_reason::tour};
    }
    return plan;
}

std::vector<candidate> domain_chooser::draw(const domain_request& request, const domain_plan& plan,
                                            std::span<const candidate> all, random_engine& random,
                                            local_time now) const
{
    struct drawn {
        candidate option;
        double key;
    };
    const auto known = services_.find(request.service);
    std::uniform_real_distribution<double> uniform{0, 1};
    std::vector<drawn> home;
    std::vector<drawn> away;
    std::vector<candidate> picked;
    for (const auto& option : all) {
        if (is_suspect(*option.item, now)) {
            picked.push_back(option);
            continue;
        }
        if (option.same_domain) {
            home.push_back({option, uniform(random)});
            continue;
        }
        const double open =
            known == services_.end()
                ? usual_open
                : current(known->second, option.item->entry.failure_domain, now).open;
        // The largest keys of u^(1/w) are a weighted sample without replacement.
        away.push_back({option, std::pow(uniform(random), 1 / std::max(open, min_draw_weight))});
    }
    const auto wanted = static_cast<std::size_t>(
        plan.away_share * static_cast<double>(request.sample_size) + uniform(random));
    const auto away_count =
        std::min(std::max(wanted, request.sample_size - std::min(request.sample_size, home.size())),
                 away.size());
    const auto home_count =
        std::min(request.sample_size - std::min(request.sample_size, away_count), home.size());
    const auto take = [&picked](std::vector<drawn>& from, std::size_t count) {
        std::ranges::partial_sort(from, from.begin() + static_cast<std::ptrdiff_t>(count),
                                  std::ranges::greater{}, &drawn::key);
        std::ranges::transform(from | std::views::take(count), std::back_inserter(picked),
                               &drawn::option);
    };
    take(home, home_count);
    take(away, std::min(away_count, request.sample_size));
    return picked;
}

} // namespace sniperock
