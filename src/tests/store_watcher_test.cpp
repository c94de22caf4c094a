/** @file store_watcher_test.cpp Tests of list-and-watch on a store that fails. */
#include "store_watcher.hpp"

#include <catch2/catch.hpp>

#include <asio/io_context.hpp>

#include <deque>
#include <optional>

using namespace sniperock;

namespace {

/** A fake store that returns scripted answers and failures. */
class scripted_store {
public:
    struct step {
        std::optional<store_failure> failure;
        store_revision at_revision;
        std::vector<store_event> events;
    };

    scripted_store(asio::io_context& io, std::deque<step> list_steps, std::deque<step> watch_steps)
        : io_(io), list_steps_(std::move(list_steps)), watch_steps_(std::move(watch_steps))
    {
    }

    task<store_listing> list(const std::string&, read_mode mode)
    {
        list_modes.push_back(mode);
        const auto current = next(list_steps_);
        co_return store_listing{{}, current.at_revision};
    }

    task<store_changes> watch(const std::string&, store_revision after, milliseconds wait,
                              read_mode mode)
    {
        watch_modes.push_back(mode);
        watch_revisions.push_back(after.value);
        watch_timeouts.push_back(wait);
        const auto current = next(watch_steps_);
        co_return store_changes{current.events, current.at_revision};
    }

    task<> create(const std::string&, const std::string&, const nlohmann::json&) { co_return; }

    void cancel_watch(const std::string&) {}
    [[nodiscard]] store_era newest_era() const { return era; }
    store_era era;
    void drop_connections() {}

    std::function<void()> before_failure;

    std::vector<read_mode> list_modes;
    std::vector<read_mode> watch_modes;
    std::vector<milliseconds> watch_timeouts;
    std::vector<std::uint64_t> watch_revisions;

private:
    /** Returns or throws the next step; stops the io context at the end of the script. */
    step next(std::deque<step>& steps)
    {
        if (steps.empty()) {
            io_.stop();
            throw store_error(store_failure::unavailable, "end of script");
        }
        auto current = steps.front();
        steps.pop_front();
        if (current.failure) {
            if (before_failure) {
                before_failure();
            }
            throw store_error(*current.failure, "scripted");
        }
        return current;
    }

    asio::io_context& io_;
    std::deque<step> list_steps_;
    std::deque<step> watch_steps_;
};

static_assert(object_store<scripted_store>);

struct callback_counts {
    int recoveries = 0;
    int listings = 0;
    int change_batches = 0;
};

callback_counts run_watcher(asio::io_context& io, scripted_store& store, watch_timing timing,
                            store_health& health)
{
    callback_counts counts;
    random_engine random{1};
    store_revision_tracker revisions;
    store_watcher<scripted_store> watcher(store, watched_kind::configurations, "kind", timing,
                                          {[&] { ++counts.recoveries; },
                                           [&](const auto&) { ++counts.listings; },
                                           [&](const auto&) { ++counts.change_batches; }},
                                          health, revisions, random);
    start_task(io.get_executor(), watcher.run());
    io.run();
    return counts;
}

callback_counts run_watcher(asio::io_context& io, scripted_store& store, watch_timing timing)
{
    store_health health(boot_clock::now());
    return run_watcher(io, store, timing, health);
}

constexpr watch_timing short_timing{milliseconds{10}, milliseconds{0}, milliseconds{2000},
                                    read_mode::stale, milliseconds{0}};

} // namespace

TEST_CASE("each watch starts after the revision that the previous one returned")
{
    asio::io_context io;
    scripted_store store(io, {{{}, {5}, {}}}, {{{}, {7}, {}}, {{}, {9}, {}}});
    const auto counts = run_watcher(io, store, short_timing);
    CHECK(store.watch_revisions == std::vector<std::uint64_t>{5, 7, 9});
    CHECK(counts.listings == 1);
    CHECK(counts.change_batches == 2);
}

TEST_CASE(
    "history gone: the kind is listed again, and the watch starts after a stale listing's revision")
{
    asio::io_context io;
    scripted_store store(io, {{{}, {5}, {}}, {{}, {20}, {}}},
                         {{{}, {6}, {}}, {store_failure::history_gone, {}, {}}, {{}, {21}, {}}});
    const auto counts = run_watcher(io, store, short_timing);
    CHECK(store.list_modes == std::vector{read_mode::stale, read_mode::stale});
    CHECK(store.watch_revisions == std::vector<std::uint64_t>{5, 6, 20, 21});
    CHECK(counts.listings == 2);
    CHECK(counts.recoveries == 0);
}

TEST_CASE("history gone: a listing that is no newer than what is known is not applied")
{
    asio::io_context io;
    const std::uint64_t relisted_revision = GENERATE(3, 6);
    scripted_store store(io, {{{}, {5}, {}}, {{}, {relisted_revision}, {}}, {{}, {20}, {}}},
                         {{{}, {6}, {}}, {store_failure::history_gone, {}, {}}, {{}, {21}, {}}});
    const auto counts = run_watcher(io, store, short_timing);
    CHECK(store.list_modes == std::vector{read_mode::stale, read_mode::stale, read_mode::fresh});
    CHECK(store.watch_revisions == std::vector<std::uint64_t>{5, 6, 20, 21});
    CHECK(counts.listings == 2);
}

TEST_CASE("a stale watch that answers with an older revision changes nothing")
{
    asio::io_context io;
    const store_event older{{"main", {4}, nullptr}, false};
    scripted_store store(io, {{{}, {5}, {}}},
                         {{{}, {7}, {}}, {{}, {4}, {older}}, {{}, {9}, {}}, {{}, {10}, {}}});
    const auto counts = run_watcher(io, store, short_timing);
    CHECK(store.watch_revisions == std::vector<std::uint64_t>{5, 7, 7, 9, 10});
    CHECK(counts.change_batches == 3);
    CHECK(std::ranges::count(store.watch_modes, read_mode::stale) == 5);
}

// The copy may be behind what is known, and even so it is what holds from now on.
TEST_CASE("after a restore the kind is listed afresh and watched from a revision of the new era")
{
    asio::io_context io;
    scripted_store store(
        io, {{{}, {33, {1}}, {}}, {{}, {31, {2}}, {}}},
        {{{}, {33, {1}}, {}}, {store_failure::history_gone, {}, {}}, {{}, {32, {2}}, {}}});
    store.before_failure = [&] { store.era = {2}; };
    const auto counts = run_watcher(io, store, short_timing);
    CHECK(store.list_modes == std::vector{read_mode::stale, read_mode::fresh});
    CHECK(store.watch_revisions == std::vector<std::uint64_t>{33, 33, 31, 32});
    CHECK(counts.listings == 2);
    CHECK(counts.recoveries == 1);
}

TEST_CASE("answers of a replica that was not restored yet change nothing and are checked afresh")
{
    asio::io_context io;
    const store_event older{{"main", {40, {1}}, nullptr}, false};
    scripted_store store(io, {{{}, {31, {2}}, {}}},
                         {{{}, {40, {1}}, {older}}, {{}, {32, {2}}, {}}});
    const auto counts = run_watcher(io, store, short_timing);
    CHECK(store.watch_revisions == std::vector<std::uint64_t>{31, 31, 32});
    CHECK(store.watch_modes.at(1) == read_mode::fresh);
    CHECK(counts.change_batches == 1);
}

TEST_CASE("the watch call of each role")
{
    const watch_timing timing{milliseconds{29'000}, milliseconds{1300}, milliseconds{2000}};
    const auto follower = select_watch_call(timing, store_role::follower, false);
    CHECK(follower.mode == read_mode::stale);
    CHECK(follower.timeout == timing.watch_timeout);
    CHECK(follower.min_interval == timing.min_watch_interval);
    const auto announcer = select_watch_call(timing, store_role::announcer, false);
    CHECK(announcer.mode == read_mode::fresh);
    CHECK(announcer.timeout == timing.watch_timeout);
    // A follower whose own watch withholds the change has to hear of it and to read it in time.
    CHECK(announcer.min_interval <= timing.apply_limit / 2);
    const auto alone = select_watch_call(timing, store_role::alone, false);
    CHECK(alone.mode == read_mode::fresh);
    CHECK(alone.timeout <= timing.apply_limit / 2);
    for (const auto role : {store_role::alone, store_role::announcer, store_role::follower}) {
        CHECK(select_watch_call(timing, role, true).mode == read_mode::fresh);
        CHECK(select_watch_call(timing, role, true).timeout <= milliseconds{1});
    }
}

TEST_CASE("history gone again right after a stale listing: the next listing is fresh")
{
    asio::io_context io;
    scripted_store store(io, {{{}, {5}, {}}, {{}, {20}, {}}},
                         {{store_failure::history_gone, {}, {}}, {{}, {21}, {}}});
    const auto counts = run_watcher(io, store, short_timing);
    CHECK(store.list_modes == std::vector{read_mode::stale, read_mode::fresh});
    CHECK(store.watch_revisions == std::vector<std::uint64_t>{5, 20, 21});
    CHECK(counts.listings == 2);
}

TEST_CASE("after an outage the listing is fresh")
{
    asio::io_context io;
    scripted_store store(io, {{{}, {5}, {}}, {{}, {30}, {}}},
                         {{{}, {6}, {}}, {store_failure::unavailable, {}, {}}, {{}, {31}, {}}});
    run_watcher(io, store, short_timing);
    CHECK(store.list_modes == std::vector{read_mode::stale, read_mode::fresh});
}

TEST_CASE("outage: the recovery of the store is reported before what the new listing contains")
{
    asio::io_context io;
    scripted_store store(io, {{{}, {5}, {}}, {{}, {30}, {}}},
                         {{store_failure::unavailable, {}, {}}, {{}, {31}, {}}});
    const auto counts = run_watcher(io, store, short_timing);
    CHECK(counts.recoveries == 1);
    CHECK(counts.listings == 2);
}

TEST_CASE("a short failure is no outage: the watch resumes without a listing")
{
    asio::io_context io;
    scripted_store store(io, {{{}, {5}, {}}}, {{store_failure::over_rate, {}, {}}, {{}, {6}, {}}});
    auto timing = short_timing;
    timing.outage_threshold = seconds{10};
    const auto counts = run_watcher(io, store, timing);
    CHECK(store.watch_revisions == std::vector<std::uint64_t>{5, 5, 6});
    CHECK(counts.listings == 1);
    CHECK(counts.recoveries == 0);
}

// Guards against a watch with the full timeout that is started during an outage of the store: the
// store never answers it.
TEST_CASE(
    "after a failure a watch gets the full timeout only once the store has answered a short one")
{
    asio::io_context io;
    scripted_store store(io, {{{}, {5}, {}}},
                         {{store_failure::unavailable, {}, {}},
                          {store_failure::unavailable, {}, {}},
                          {{}, {6}, {}},
                          {{}, {7}, {}}});
    auto timing = short_timing;
    timing.outage_threshold = seconds{10};
    run_watcher(io, store, timing);
    REQUIRE(store.watch_timeouts.size() == 5);
    CHECK(store.watch_timeouts[0] == timing.watch_timeout);
    CHECK(store.watch_timeouts[1] < timing.watch_timeout);
    CHECK(store.watch_timeouts[2] < timing.watch_timeout);
    CHECK(store.watch_timeouts[3] == timing.watch_timeout);
}

TEST_CASE("while the store answers no probes, a failed kind is retried only after the maximum "
          "health wait")
{
    asio::io_context io;
    scripted_store store(io, {{store_failure::unavailable, {}, {}}, {{}, {5}, {}}}, {});
    auto timing = short_timing;
    timing.max_health_wait = milliseconds{400};
    store_health health(boot_clock::now());
    health.record_probe_failure(boot_clock::now(), "scripted");
    const auto began = boot_clock::now();
    const auto counts = run_watcher(io, store, timing, health);
    CHECK(counts.listings == 1);
    CHECK(boot_clock::now() - began >= timing.max_health_wait);
}

// Guards against missing an outage that ends before the calls for a kind have failed for long:
// entries that expired during it would be dropped as if they had left.
TEST_CASE("an outage starts for each kind at the failed liveness probe (setting pulse)")
{
    asio::io_context io;
    scripted_store store(io, {{{}, {5}, {}}, {{}, {30}, {}}},
                         {{store_failure::unavailable, {}, {}}, {{}, {31}, {}}});
    auto timing = short_timing;
    timing.outage_threshold = seconds{1};
    timing.max_health_wait = milliseconds{0};
    store_health health(boot_clock::now());
    store.before_failure = [&] {
        health.record_probe_failure(boot_clock::now() - timing.outage_threshold, "scripted");
    };
    const auto counts = run_watcher(io, store, timing, health);
    CHECK(counts.listings == 2);
    CHECK(counts.recoveries == 1);
    CHECK(store.list_modes.back() == read_mode::fresh);
}
