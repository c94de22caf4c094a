/** @file call_picker.cpp Selects the upstream for a request and waits for a free slot. */
#include "call_picker.hpp"

#include "choice_admission.hpp"
#include "choice_subset.hpp"
#include "rate_limit.hpp"
#include "rollout_share.hpp"

#include <algorithm>
#include <ranges>

namespace sniperock {
namespace {

/** Bounds of the random interval between selection rounds while no upstream has a free slot. It is
 * about the duration of a probe, in which a few requests of a service end. */
constexpr milliseconds min_poll_interval{6};
constexpr milliseconds max_poll_interval{14};

/** A probe is late after this multiple of the average answer time; most are answered within it. */
constexpr int late_factor = 2;

/** Requests get no further round when less than this fraction of the probe budget is left. */
constexpr double first_round_reserve = 0.3;

/** One search for an upstream, in one or more selection rounds. */
class search {
public:
    search(call_context& context, pick_request& request) : context_(context), request_(request) {}

    task<pick_result> run(std::shared_ptr<const bool> cancelled)
    {
        for (;;) {
            const auto all = candidates();
            probe_excluded();
            if (all.empty() && widen_versions(true)) {
                continue;
            }
            if (all.empty()) {
                const auto failure =
                    excluded_.empty() ? pick_failure::no_upstream : pick_failure::limited;
                co_return pick_result{std::nullopt, failure, record_};
            }
            auto picked = co_await run_round(all);
            if (picked || *cancelled) {
                co_return pick_result{std::move(picked), pick_failure::none, record_};
            }
            if (widen_versions(false)) {
                continue;
            }
            if (refused_) {
                co_return pick_result{std::nullopt, pick_failure::no_slot, record_};
            }
            std::uniform_int_distribution<std::int64_t> interval{min_poll_interval.count(),
                                                                 max_poll_interval.count()};
            co_await sleep_for(milliseconds{interval(context_.random)});
            if (*cancelled) {
                co_return pick_result{};
            }
        }
    }

private:
    /** Usable upstreams. Suspect ones (unhealthy or in backoff) are included only if there are no
     * others, or at random. */
    std::vector<candidate> candidates()
    {
        const auto now = boot_clock::now();
        std::vector<candidate> healthy;
        std::vector<candidate> suspect;
        version_filter versions(context_.rollouts, request_.versions, now);
        std::size_t others = 0;
        excluded_.clear();
        counts_ = {};
        for (const auto& item : context_.registry.of_service(request_.service)) {
            if (!context_.registry.usable(*item) || request_.tried.contains(item->entry.id)) {
                continue;
            }
            if (!versions.admits(item->entry)) {
                ++others;
                continue;
            }
            if (!rate_limit_allows(*item, context_.fleet, now)) {
                excluded_.push_back(item);
                continue;
            }
            const bool same_domain = item->entry.failure_domain == context_.settings.failure_domain;
            ++(same_domain ? counts_.home : counts_.away);
            (is_suspect(*item, now) ? suspect : healthy)
                .push_back({item.get(), same_domain, false});
        }
        if (request_.versions == version_choice::sample) {
            keep_active(healthy, others, now);
        }
        // Suspect ones are included now and then; otherwise their recovery would go unnoticed.
        std::uniform_int_distribution<> odds{1, suspect_odds};
        if (healthy.empty() || odds(context_.random) == 1) {
            healthy.insert(healthy.end(), suspect.begin(), suspect.end());
        }
        const auto subset_size = static_cast<std::size_t>(context_.settings.subset);
        auto subset = stable_subset(std::move(healthy), subset_size, context_.settings.vm_name);
        const auto& distances = context_.prober.distances();
        for (auto& option : subset) {
            if (!option.same_domain) {
                option.distance_ms = distances.between_ms(context_.settings.failure_domain,
                                                          option.item->entry.failure_domain);
            }
        }
        return subset;
    }

    /** What the choice between failure domains needs to know of the request. */
    [[nodiscard]] domain_request describe_for_domains() const
    {
        return {request_.service,
                request_.estimate,
                static_cast<double>(request_.matched_route->target_latency.count()),
                static_cast<std::size_t>(context_.settings.probe_count),
                counts_,
                record_.looks > 0 || !request_.tried.empty()};
    }

    /** Selects the upstreams to probe and rank in this round. */
    std::vector<candidate> draw_sample(const std::vector<candidate>& all)
    {
        const auto now = boot_clock::now();
        const auto max_count = static_cast<std::size_t>(context_.settings.probe_count);
        plan_ = {1, domain_reason::any};
        if (!context_.policy.probes() || context_.settings.prefer_home == 0) {
            return context_.policy.sample(all, max_count, request_.estimate, context_.random, now);
        }
        const auto described = describe_for_domains();
        plan_ = context_.domains.plan(described, all, context_.random, now);
        const auto drawn = context_.domains.draw(described, plan_, all, context_.random, now);
        return context_.policy.sample(drawn, max_count, request_.estimate, context_.random, now);
    }

    /** Keeps the new upstreams that get the share now. A cold one shows nothing of its version.
     * @param others upstreams of other versions. */
    void keep_active(std::vector<candidate>& targets, std::size_t others, local_time now) const
    {
        const auto cold = std::ranges::partition(
            targets, [now](const candidate& option) { return !is_cold(*option.item, now); });
        if (cold.begin() != targets.begin()) {
            targets.erase(cold.begin(), cold.end());
        }
        const auto slot = static_cast<std::uint64_t>(
            std::chrono::duration_cast<seconds>(wall_now().time_since_epoch()).count());
        const auto count = active_targets(context_.rollouts.share_of(request_.service, now), others,
                                          targets.size(), slot);
        std::ranges::sort(targets, {}, [slot](const candidate& option) {
            return active_rank(option.item->entry.id, slot);
        });
        targets.resize(count);
    }

    /** Lets the request use other versions if the one that was selected cannot take it.
     * @param none the version has no usable upstream. @return false if it stays as it is. */
    bool widen_versions(bool none)
    {
        const bool is_sample = request_.versions == version_choice::sample;
        if (!is_sample && !(none && request_.versions == version_choice::target)) {
            return false;
        }
        request_.versions = version_choice::stable;
        refused_ = false;
        return true;
    }

    /** Probes one of the upstreams that this VM's share of their limit excludes, if it is time to
     * check whether the limit still holds. */
    void probe_excluded()
    {
        record_.limit_held += excluded_.size();
        if (excluded_.empty()) {
            return;
        }
        context_.stats.limit_denied.Increment(static_cast<double>(excluded_.size()));
        const auto now = boot_clock::now();
        const auto interval = excluded_probe_interval(context_.fleet);
        const auto due = std::ranges::find_if(excluded_, [&](const upstream_ptr& item) {
            return item->limit->in_probes && now - item->limit->probed_at >= interval;
        });
        if (due == excluded_.end() || !context_.may_probe(now)) {
            return;
        }
        (*due)->limit->probed_at = now;
        const auto round = std::make_shared<probe_round>(context_.io.get_executor());
        round->closed = true;
        context_.prober.start(round, *due, health_path());
    }

    [[nodiscard]] std::string health_path() const
    {
        const auto* service = request_.service_settings;
        return service == nullptr ? default_health_path : service->health_path;
    }

    /** Evaluates a sample of the candidates. @return the selected upstream, if any. */
    task<std::optional<picked_upstream>> run_round(const std::vector<candidate>& all)
    {
        auto sample = draw_sample(all);
        // Keeps the upstreams alive, since the registry may drop them while the search waits.
        std::vector<upstream_ptr> owners;
        std::ranges::transform(sample, std::back_inserter(owners), [](const candidate& option) {
            return option.item->shared_from_this();
        });
        const auto round = std::make_shared<probe_round>(context_.io.get_executor());
        if (context_.policy.probes()) {
            co_await probe(round, sample);
        }
        auto picked = select(sample);
        round->closed = true;
        const auto now = boot_clock::now();
        for (const auto& answer : round->answers) {
            if (picked && answer.target == picked->target) {
                picked->connection = answer.connection;
            }
            else {
                context_.pool.put_back(*answer.target, answer.connection, now);
            }
        }
        co_return picked;
    }

    /** Probes the candidates without a fresh load report and waits for enough answers. */
    task<> probe(std::shared_ptr<probe_round> round, std::vector<candidate>& sample)
    {
        const auto started = boot_clock::now();
        fresh_since_ = started - context_.settings.probe_fresh;
        update_freshness(sample);
        for (auto& option : sample) {
            if (option.fresh) {
                continue;
            }
            if (!context_.may_probe(started)) {
                break;
            }
            context_.prober.start(round, option.item->shared_from_this(), health_path());
        }
        const auto latest = started + context_.settings.probe_timeout;
        const auto late_at = started + context_.prober.average_time() * late_factor;
        while (round->pending > 0 && !has_ideal(sample)) {
            const auto until = can_meet_target(sample) ? std::min(late_at, latest) : latest;
            const auto now = boot_clock::now();
            if (now >= until) {
                break;
            }
            co_await round->changed.wait_for(until - now);
            update_freshness(sample);
        }
    }

    void update_freshness(std::vector<candidate>& sample) const
    {
        for (auto& option : sample) {
            option.fresh = option.item->report && option.item->reported_at >= fresh_since_;
        }
    }

    [[nodiscard]] bool has_ideal(const std::vector<candidate>& sample) const
    {
        const auto now = boot_clock::now();
        return std::ranges::any_of(sample, [&](const candidate& option) {
            return !option.item->unhealthy && has_free_slot(*option.item) &&
                   is_ideal(option, request_.estimate, now);
        });
    }

    /** True if an eligible candidate with a fresh report is expected to answer within the target
     * latency; candidates that have not answered yet may be better. */
    [[nodiscard]] bool can_meet_target(const std::vector<candidate>& sample)
    {
        const auto now = boot_clock::now();
        const std::chrono::duration<double, std::milli> left =
            request_.arrived + request_.matched_route->target_latency - now;
        return std::ranges::any_of(sample, [&](const candidate& option) {
            return option.fresh && is_eligible(option, now) &&
                   expected_ms(option, request_.estimate, now) <= left.count();
        });
    }

    /** @return the best eligible candidate, with its slot counted as used, if it is admitted. */
    std::optional<picked_upstream> select(std::vector<candidate>& sample)
    {
        const auto now = boot_clock::now();
        ++record_.looks;
        record_.looked_at += sample.size();
        record_.answered += static_cast<std::size_t>(
            std::ranges::count_if(sample, [](const candidate& option) { return option.fresh; }));
        record_contention(sample);
        std::erase_if(sample, [&](const candidate& option) {
            const auto verdict = check_eligibility(option, now);
            count_rejection(verdict);
            if (option.fresh && verdict != eligibility::unusable) {
                context_.domains.observe(request_.service, option, verdict == eligibility::eligible,
                                         request_.estimate, now);
            }
            return verdict != eligibility::eligible;
        });
        auto best = std::ranges::min_element(sample, {}, [&](const candidate& option) {
            return context_.policy.rank(option, request_.estimate, now);
        });
        if (best != sample.end() && !takes_slot(*best)) {
            ++record_.left;
            best = sample.end();
        }
        record_.best_ms = best == sample.end()
                              ? std::nullopt
                              : std::optional{expected_ms(*best, request_.estimate, now)};
        if (!admit(best == sample.end() ? nullptr : &*best, now)) {
            return std::nullopt;
        }
        return claim_slot(*best, now);
    }

    void record_contention(const std::vector<candidate>& sample)
    {
        for (const auto& option : sample) {
            if (option.fresh) {
                context_.contention.record(request_.service, *option.item->report);
            }
        }
    }

    /** Whether a free slot of the best candidate is taken, or left to other VMs. */
    [[nodiscard]] bool takes_slot(const candidate& best)
    {
        return !context_.policy.probes() || !best.fresh ||
               context_.contention.takes_slot(request_.service, *best.item, context_.random);
    }

    /** Decides whether the best candidate is selected; sets refused_ if the search ends without. */
    bool admit(const candidate* best, local_time now)
    {
        if (!context_.policy.probes()) {
            refused_ = best == nullptr;
            return best != nullptr;
        }
        if (!request_.may_wait || now >= request_.deadline) {
            refused_ = best == nullptr;
            return best != nullptr;
        }
        admission_input input{now - request_.arrived,
                              request_.matched_route->target_latency,
                              {},
                              context_.settings.wait_share,
                              context_.settings.search_share};
        input.best_ms = record_.best_ms;
        const auto verdict = decide_admission(input);
        // The remaining probe budget is reserved for the first rounds of other requests.
        const bool probes_scarce = context_.probes.fill_ratio() < first_round_reserve;
        refused_ =
            verdict == admission::refuse || (verdict == admission::search_again && probes_scarce);
        return verdict == admission::accept;
    }

    picked_upstream claim_slot(const candidate& best, local_time now)
    {
        auto& item = *best.item;
        choice_basis basis{busy_slots(item), item.entry.slots, 1, is_cold(item, now), {}};
        basis.domain = best.same_domain ? domain_reason::home : plan_.reason;
        if (item.report) {
            basis.slowness = item.report->slowness;
            basis.report_age = now - item.reported_at;
        }
        ++item.in_flight;
        ++item.sent_since_report;
        if (basis.cold) {
            item.cold_sends.add(now);
        }
        count_limited_send(item, now);
        return {item.shared_from_this(), nullptr, basis};
    }

    /** Whether a candidate can be selected, or why not. */
    enum class eligibility { eligible, unusable, cold_held, limit_held, unknown, full };

    eligibility check_eligibility(const candidate& option, local_time now)
    {
        auto& item = *option.item;
        if (!context_.registry.usable(item)) {
            return eligibility::unusable;
        }
        if (is_cold(item, now) &&
            !cold_limit_allows(item, context_.cold_bounds_of(request_.service_settings),
                               context_.fleet, now)) {
            return eligibility::cold_held;
        }
        if (!rate_limit_allows(item, context_.fleet, now)) {
            return eligibility::limit_held;
        }
        if (!context_.policy.probes()) {
            return eligibility::eligible;
        }
        if (!option.fresh && (item.report || item.silent_since)) {
            // In an overload, upstreams that could not be probed would look idle and attract all
            // requests.
            return eligibility::unknown;
        }
        const bool free = item.report ? has_free_slot(item) : item.in_flight < item.entry.slots;
        return free ? eligibility::eligible : eligibility::full;
    }

    bool is_eligible(const candidate& option, local_time now)
    {
        return check_eligibility(option, now) == eligibility::eligible;
    }

    void count_rejection(eligibility verdict)
    {
        record_.unknown += verdict == eligibility::unknown ? 1 : 0;
        record_.full += verdict == eligibility::full ? 1 : 0;
        record_.cold_held += verdict == eligibility::cold_held ? 1 : 0;
        record_.limit_held += verdict == eligibility::limit_held ? 1 : 0;
        if (verdict == eligibility::cold_held) {
            context_.stats.cold_denied.Increment();
        }
        if (verdict == eligibility::limit_held) {
            context_.stats.limit_denied.Increment();
        }
    }

    /** Suspect upstreams are among the candidates in one of this many rounds. */
    static constexpr int suspect_odds = 8;

    call_context& context_;
    pick_request& request_;
    search_record record_;
    /** Upstreams that this VM's share of their limit excludes now. */
    std::vector<upstream_ptr> excluded_;
    /** Usable upstreams of the service, and where this round's sample is drawn. */
    domain_counts counts_;
    domain_plan plan_;
    /** Load reports received at or after this time are fresh. */
    local_time fresh_since_;
    /** The search ends without an upstream; it does not wait for a free slot. */
    bool refused_ = false;
};

} // namespace

void release_slot(upstream& item)
{
    if (item.in_flight > 0) {
        --item.in_flight;
    }
}

task<pick_result> pick_upstream(call_context& context, pick_request request,
                                std::shared_ptr<const bool> cancelled)
{
    search run(context, request);
    auto result = co_await run.run(std::move(cancelled));
    co_return result;
}

} // namespace sniperock
