/** @file dispatch_overload_test.cpp Twice the load, discrete events over the pure decisions. */
#include "dispatch_fleet.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;
using namespace sniperock::testing;

namespace {

constexpr milliseconds mean_service{10};
constexpr microseconds step{250};
constexpr std::uint32_t slots = 8;
/** Calls a second that the servers can run. */
constexpr double capacity = 1000.0 / mean_service.count() * slots;

/** One stream of calls. */
struct stream {
    std::string plan;
    /** Calls a second. */
    double rate = 0;
    milliseconds timeout{0};
    /** Service times vary, or are all the same. */
    bool varied = true;
    local_time next{};
};

/** What became of a plan's calls. */
struct outcome {
    std::size_t asked = 0;
    /** Answered before its deadline and before the run's end. */
    std::size_t in_time = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    nanoseconds longest_wait{0};
    bool retry_named = true;
};

/** One vm that owns four warm servers of two slots. */
class overload {
public:
    overload(std::uint64_t seed, std::vector<allowance> allowances)
        : random_(seed), fleet(seed, {"a"}, warm_servers(), std::move(allowances))
    {
    }

    void run(std::vector<stream> streams, seconds duration)
    {
        end_ = fleet.clock.now() + duration;
        for (auto& item : streams) {
            item.next = fleet.clock.now();
        }
        while (fleet.clock.now() < end_) {
            for (auto& item : streams) {
                arrive(item);
            }
            fleet.step(step);
        }
        for (int rest = 0; rest < 4'000; ++rest) {
            fleet.step(step);
        }
    }

    outcome result(const std::string& plan)
    {
        outcome sum;
        for (const auto& call : fleet.calls) {
            if (call->plan != plan) {
                continue;
            }
            ++sum.asked;
            if (call->refused) {
                ++sum.refused;
                sum.retry_named &= call->refused->retry_after > milliseconds{0};
                continue;
            }
            const bool in_time = call->ends < call->deadline;
            sum.in_time += in_time && call->ends <= end_ ? 1 : 0;
            sum.late += in_time ? 0 : 1;
            sum.longest_wait = std::max(sum.longest_wait, call->granted - call->asked);
        }
        return sum;
    }

private:
    static std::vector<server_entry> warm_servers()
    {
        auto entries = make_servers(4, 2);
        std::ranges::for_each(entries, [](server_entry& entry) { entry.cold_slots = 2; });
        return entries;
    }

    void arrive(stream& from)
    {
        while (from.next <= fleet.clock.now()) {
            std::exponential_distribution<double> service(1.0 / mean_service.count());
            std::exponential_distribution<double> gap(from.rate);
            const double time = from.varied ? service(random_) : mean_service.count();
            const nanoseconds length{static_cast<std::int64_t>(time * 1e6)};
            fleet.ask("a", from.plan, from.timeout, length);
            const double pause = from.varied ? gap(random_) : 1 / from.rate;
            from.next += nanoseconds{static_cast<std::int64_t>(pause * 1e9)};
        }
    }

    random_engine random_;
    local_time end_;

public:
    fake_fleet fleet;
};

} // namespace

TEST_CASE("twice the load leaves the answers in time within 5% of what the servers can run")
{
    for (const milliseconds timeout : {milliseconds{100}, milliseconds{200}, milliseconds{1000}}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            INFO("seed " << seed << " timeout " << timeout.count() << " ms");
            overload test(seed, {{"basic", "portal"}});
            test.run({{"basic", capacity * 2, timeout}}, seconds{4});
            const auto seen = test.result("basic");
            const double best = capacity * 4;
            CHECK(static_cast<double>(seen.in_time) >= best * 0.95);
            CHECK(seen.retry_named);
        }
    }
}

TEST_CASE("a plan within its share waits no longer than its queueing bound, whatever others do")
{
    overload test(1, {{"basic", "portal", 1}, {"gold", "portal", 1}});
    test.run({{"basic", capacity * 4, milliseconds{1'000}, false},
              {"gold", capacity * 0.4, milliseconds{500}, false}},
             seconds{4});
    const auto gold = test.result("gold");
    CHECK(gold.refused == 0);
    CHECK(gold.late == 0);
    // A slot falls free within a service time; one call of each plan may go first.
    const nanoseconds bound = mean_service + 2 * mean_service / slots + 2 * step;
    CHECK(gold.longest_wait <= bound);
}
