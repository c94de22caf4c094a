/** @file call_picker.cpp Finds the upstream for a request and waits for a free slot. */
#include "call_picker.hpp"

#include "choice_admission.hpp"
#include "choice_subset.hpp"

#include <algorithm>
#include <ranges>

namespace sniperock {
namespace {

/** Pause before upstreams are probed again while none has a free slot, with jitter; about the time
 * of a probe, in which a few of a service's requests end. */
constexpr milliseconds shortest_pause{6};
constexpr milliseconds longest_pause{14};

/** A probe is late after so many times the usual time; most others come within it. */
constexpr int usual_times = 2;

/** Requests do not look again when less than this part of the probes is left. */
constexpr double kept_for_first_look = 0.3;

/** One search for an upstream. */
class search {
public:
    search(call_context& context, pick_request& request) : context_(context), request_(request) {}

    task<pick_result> run(std::shared_ptr<const bool> cancelled)
    {
        for (;;) {
            const auto all = candidates();
            if (all.empty()) {
                co_return pick_result{std::nullopt, pick_failure::no_upstream, record_};
            }
            auto picked = co_await look(all);
            if (picked || *cancelled) {
                co_return pick_result{std::move(picked), pick_failure::none, record_};
            }
            if (refused_) {
                co_return pick_result{std::nullopt, pick_failure::no_slot, record_};
            }
            std::uniform_int_distribution<std::int64_t> pause{shortest_pause.count(),
                                                              longest_pause.count()};
            co_await sleep_for(milliseconds{pause(context_.random)});
            if (*cancelled) {
                co_return pick_result{};
            }
        }
    }

private:
    /** Upstreams that may be used; those that are known to be of no use only if there are no
     * others. */
    std::vector<candidate> candidates()
    {
        const auto now = boot_clock::now();
        std::vector<candidate> good;
        std::vector<candidate> doubtful;
        for (const auto& item : context_.registry.of_service(request_.service)) {
            if (!context_.registry.usable(*item) || request_.tried.contains(item->entry.id)) {
                continue;
            }
            const bool near = item->entry.failure_domain == context_.settings.failure_domain;
            const bool doubted = item->unhealthy || item->failures.in_backoff(now);
            (doubted ? doubtful : good).push_back({item.get(), near, false});
        }
        // Doubtful ones are looked at now and then, or nobody would notice that they are back.
        std::uniform_int_distribution<> dice{1, doubtful_odds};
        if (good.empty() || dice(context_.random) == 1) {
            good.insert(good.end(), doubtful.begin(), doubtful.end());
        }
        const auto most = static_cast<std::size_t>(context_.settings.subset);
        return stable_subset(std::move(good), most, context_.settings.vm_name);
    }

    /** Looks at some candidates. @return the one that takes the request, if any can. */
    task<std::optional<picked_upstream>> look(const std::vector<candidate>& all)
    {
        auto sample =
            context_.policy.sample(all, static_cast<std::size_t>(context_.settings.probe_count),
                                   request_.estimate, context_.random, boot_clock::now());
        // The registry may drop them while the search waits.
        std::vector<upstream_ptr> held;
        std::ranges::transform(sample, std::back_inserter(held),
                               [](const candidate& what) { return what.item->shared_from_this(); });
        const auto round = std::make_shared<probe_round>(context_.io.get_executor());
        if (context_.policy.probes()) {
            co_await probe(round, sample);
        }
        auto picked = choose(sample);
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

    /** Asks the candidates that have no fresh report and waits for enough answers. */
    task<> probe(std::shared_ptr<probe_round> round, std::vector<candidate>& sample)
    {
        const auto* service = request_.service_settings;
        const std::string health_path = service == nullptr ? "/healthz" : service->health_path;
        const auto begin = boot_clock::now();
        fresh_since_ = begin - context_.settings.probe_fresh;
        refresh(sample);
        for (auto& what : sample) {
            if (what.fresh) {
                continue;
            }
            if (!may_probe(begin)) {
                break;
            }
            context_.prober.start(round, what.item->shared_from_this(), health_path);
        }
        const auto last = begin + context_.settings.probe_timeout;
        const auto usual = begin + context_.prober.average_time() * usual_times;
        while (round->pending > 0 && !found_ideal(sample)) {
            const auto until = can_answer_in_time(sample) ? std::min(usual, last) : last;
            const auto now = boot_clock::now();
            if (now >= until) {
                break;
            }
            co_await round->changed.wait_for(until - now);
            refresh(sample);
        }
    }

    void refresh(std::vector<candidate>& sample) const
    {
        for (auto& what : sample) {
            what.fresh = what.item->report && what.item->reported_at >= fresh_since_;
        }
    }

    /** True if this VM's share of the fleet's probes allows one more. */
    bool may_probe(local_time now)
    {
        return context_.probes.spend({static_cast<double>(context_.settings.probe_rate),
                                      context_.registry.size(), context_.fleet.members.size()},
                                     now);
    }

    [[nodiscard]] bool found_ideal(const std::vector<candidate>& sample) const
    {
        const auto now = boot_clock::now();
        return std::ranges::any_of(sample, [&](const candidate& what) {
            return !what.item->unhealthy && has_free_slot(*what.item) &&
                   is_ideal(what, request_.estimate, now);
        });
    }

    /** There is one that would do, if none of those that have not answered yet is better. */
    [[nodiscard]] bool can_answer_in_time(const std::vector<candidate>& sample)
    {
        const auto now = boot_clock::now();
        const std::chrono::duration<double, std::milli> left =
            request_.arrived + request_.where->target_latency - now;
        return std::ranges::any_of(sample, [&](const candidate& what) {
            return what.fresh && can_take(what, now) &&
                   expected_ms(what, request_.estimate, now) <= left.count();
        });
    }

    /** The best candidate if the request takes it; its slot is counted as used. */
    std::optional<picked_upstream> choose(std::vector<candidate>& sample)
    {
        const auto now = boot_clock::now();
        ++record_.looks;
        record_.looked_at += sample.size();
        std::erase_if(sample, [&](const candidate& what) {
            const auto verdict = judge(what, now);
            note(verdict);
            return verdict != fitness::fit;
        });
        const auto best = std::ranges::min_element(sample, {}, [&](const candidate& what) {
            return context_.policy.rank(what, request_.estimate, now);
        });
        record_.best_ms = best == sample.end()
                              ? std::nullopt
                              : std::optional{expected_ms(*best, request_.estimate, now)};
        if (!admits(best == sample.end() ? nullptr : &*best, now)) {
            return std::nullopt;
        }
        return take(*best, now);
    }

    /** Decides whether the best candidate is taken, or the search goes on or ends. */
    bool admits(const candidate* best, local_time now)
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
                              request_.where->target_latency,
                              {},
                              context_.settings.wait_share,
                              context_.settings.search_share};
        input.best_ms = record_.best_ms;
        const auto verdict = decide_admission(input);
        // What is left of the probes is kept for requests that have not looked at all.
        const bool few_probes = context_.probes.fill_ratio() < kept_for_first_look;
        refused_ =
            verdict == admission::refuse || (verdict == admission::search_again && few_probes);
        return verdict == admission::accept;
    }

    picked_upstream take(const candidate& best, local_time now)
    {
        auto& item = *best.item;
        choice_basis basis{busy_slots(item), item.entry.slots, 1, is_cold(item, now), {}};
        if (item.report) {
            basis.slowness = item.report->slowness;
            basis.report_age = now - item.reported_at;
        }
        ++item.in_flight;
        ++item.sent_since_report;
        if (basis.cold) {
            item.cold_sends.add(now);
        }
        return {item.shared_from_this(), nullptr, basis};
    }

    /** Whether a candidate can take the request, or why not. */
    enum class fitness { fit, unusable, cold_held, unknown, full };

    fitness judge(const candidate& what, local_time now)
    {
        auto& item = *what.item;
        if (!context_.registry.usable(item)) {
            return fitness::unusable;
        }
        if (is_cold(item, now) &&
            !cold_limit_allows(item, context_.cold_bounds_of(request_.service_settings),
                               context_.fleet, now)) {
            return fitness::cold_held;
        }
        if (!context_.policy.probes()) {
            return fitness::fit;
        }
        if (item.report && !what.fresh) {
            // In an overload, those that could not be asked look empty: all would send there.
            return fitness::unknown;
        }
        const bool free = item.report ? has_free_slot(item) : item.in_flight < item.entry.slots;
        return free ? fitness::fit : fitness::full;
    }

    bool can_take(const candidate& what, local_time now)
    {
        return judge(what, now) == fitness::fit;
    }

    void note(fitness verdict)
    {
        record_.unknown += verdict == fitness::unknown ? 1 : 0;
        record_.full += verdict == fitness::full ? 1 : 0;
        record_.cold_held += verdict == fitness::cold_held ? 1 : 0;
        if (verdict == fitness::cold_held) {
            context_.measured.cold_denied.Increment();
        }
    }

    /** Doubtful upstreams are among the candidates of one look in so many. */
    static constexpr int doubtful_odds = 8;

    call_context& context_;
    pick_request& request_;
    search_record record_;
    /** Reports that came since then are fresh. */
    local_time fresh_since_;
    /** There is no free slot, and it does not wait for one. */
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
