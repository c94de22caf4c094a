/** @file store_follower_test.cpp Keeping up with a store that fails. */
#include "store_follower.hpp"

#include <catch2/catch.hpp>

#include <asio/io_context.hpp>

#include <deque>
#include <optional>

using namespace sniperock;

namespace {

/** A store that answers from a script. */
class scripted_store {
public:
    struct step {
        std::optional<store_failure> failure;
        store_revision at;
        std::vector<store_event> events;
    };

    scripted_store(asio::io_context& io, std::deque<step> listings, std::deque<step> watches)
        : io_(io), listings_(std::move(listings)), watches_(std::move(watches))
    {
    }

    task<store_listing> list(const std::string&, read_mode mode)
    {
        modes.push_back(mode);
        const auto now = next(listings_);
        co_return store_listing{{}, now.at};
    }

    task<store_changes> watch(const std::string&, store_revision after, milliseconds wait)
    {
        watched_after.push_back(after.value);
        waits.push_back(wait);
        const auto now = next(watches_);
        co_return store_changes{now.events, now.at};
    }

    task<> create(const std::string&, const std::string&, const nlohmann::json&) { co_return; }

    void drop_connections() {}

    std::function<void()> before_failure;

    std::vector<read_mode> modes;
    std::vector<milliseconds> waits;
    std::vector<std::uint64_t> watched_after;

private:
    /** The next step; the end of the script ends the test. */
    step next(std::deque<step>& steps)
    {
        if (steps.empty()) {
            io_.stop();
            throw store_error(store_failure::unavailable, "end of script");
        }
        auto now = steps.front();
        steps.pop_front();
        if (now.failure) {
            if (before_failure) {
                before_failure();
            }
            throw store_error(*now.failure, "scripted");
        }
        return now;
    }

    asio::io_context& io_;
    std::deque<step> listings_;
    std::deque<step> watches_;
};

static_assert(object_store<scripted_store>);

struct outcome {
    int returned = 0;
    int listed = 0;
    int changed = 0;
};

outcome follow(asio::io_context& io, scripted_store& store, follower_times times,
               store_health& health)
{
    outcome seen;
    random_engine random{1};
    store_revision_tracker news;
    store_follower<scripted_store> follower(store, followed_kind::configurations, "kind", times,
                                            {[&] { ++seen.returned; },
                                             [&](const auto&) { ++seen.listed; },
                                             [&](const auto&) { ++seen.changed; }},
                                            health, news, random);
    start_task(io.get_executor(), follower.run());
    io.run();
    return seen;
}

outcome follow(asio::io_context& io, scripted_store& store, follower_times times)
{
    store_health health(boot_clock::now());
    return follow(io, store, times, health);
}

constexpr follower_times quick{milliseconds{10}, milliseconds{0}, read_mode::stale,
                               milliseconds{0}};

} // namespace

TEST_CASE("each watch goes on from where the last one ended")
{
    asio::io_context io;
    scripted_store store(io, {{{}, {5}, {}}}, {{{}, {7}, {}}, {{}, {9}, {}}});
    const auto seen = follow(io, store, quick);
    CHECK(store.watched_after == std::vector<std::uint64_t>{5, 7, 9});
    CHECK(seen.listed == 1);
    CHECK(seen.changed == 2);
}

TEST_CASE(
    "history gone: the kind is listed anew, and an old listing is watched on from its revision")
{
    asio::io_context io;
    scripted_store store(io, {{{}, {5}, {}}, {{}, {20}, {}}},
                         {{{}, {6}, {}}, {store_failure::history_gone, {}, {}}, {{}, {21}, {}}});
    const auto seen = follow(io, store, quick);
    CHECK(store.modes == std::vector{read_mode::stale, read_mode::stale});
    CHECK(store.watched_after == std::vector<std::uint64_t>{5, 6, 20, 21});
    CHECK(seen.listed == 2);
    CHECK(seen.returned == 0);
}

TEST_CASE("history gone: a listing that is no newer than what is known is not taken over")
{
    asio::io_context io;
    const std::uint64_t at = GENERATE(3, 6);
    scripted_store store(io, {{{}, {5}, {}}, {{}, {at}, {}}, {{}, {20}, {}}},
                         {{{}, {6}, {}}, {store_failure::history_gone, {}, {}}, {{}, {21}, {}}});
    const auto seen = follow(io, store, quick);
    CHECK(store.modes == std::vector{read_mode::stale, read_mode::stale, read_mode::fresh});
    CHECK(store.watched_after == std::vector<std::uint64_t>{5, 6, 20, 21});
    CHECK(seen.listed == 2);
}

TEST_CASE("history gone again right after an old listing: the next one is fresh")
{
    asio::io_context io;
    scripted_store store(io, {{{}, {5}, {}}, {{}, {20}, {}}},
                         {{store_failure::history_gone, {}, {}}, {{}, {21}, {}}});
    const auto seen = follow(io, store, quick);
    CHECK(store.modes == std::vector{read_mode::stale, read_mode::fresh});
    CHECK(store.watched_after == std::vector<std::uint64_t>{5, 20, 21});
    CHECK(seen.listed == 2);
}

TEST_CASE("after an outage the listing is fresh")
{
    asio::io_context io;
    scripted_store store(io, {{{}, {5}, {}}, {{}, {30}, {}}},
                         {{{}, {6}, {}}, {store_failure::unavailable, {}, {}}, {{}, {31}, {}}});
    follow(io, store, quick);
    CHECK(store.modes == std::vector{read_mode::stale, read_mode::fresh});
}

TEST_CASE("outage: the store's return is told before what it says then")
{
    asio::io_context io;
    scripted_store store(io, {{{}, {5}, {}}, {{}, {30}, {}}},
                         {{store_failure::unavailable, {}, {}}, {{}, {31}, {}}});
    const auto seen = follow(io, store, quick);
    CHECK(seen.returned == 1);
    CHECK(seen.listed == 2);
}

TEST_CASE("a short failure is no outage: the watch goes on without a listing")
{
    asio::io_context io;
    scripted_store store(io, {{{}, {5}, {}}}, {{store_failure::over_rate, {}, {}}, {{}, {6}, {}}});
    auto times = quick;
    times.lost_after = seconds{10};
    const auto seen = follow(io, store, times);
    CHECK(store.watched_after == std::vector<std::uint64_t>{5, 5, 6});
    CHECK(seen.listed == 1);
    CHECK(seen.returned == 0);
}

// Guards against a long watch that was begun while the store was silent: nothing ever answers it.
TEST_CASE("after a failure a watch waits long only once the store has answered a short one")
{
    asio::io_context io;
    scripted_store store(io, {{{}, {5}, {}}},
                         {{store_failure::unavailable, {}, {}},
                          {store_failure::unavailable, {}, {}},
                          {{}, {6}, {}},
                          {{}, {7}, {}}});
    auto times = quick;
    times.lost_after = seconds{10};
    follow(io, store, times);
    REQUIRE(store.waits.size() == 5);
    CHECK(store.waits[0] == times.watch);
    CHECK(store.waits[1] < times.watch);
    CHECK(store.waits[2] < times.watch);
    CHECK(store.waits[3] == times.watch);
}

TEST_CASE("while the store answers no pulses a failed kind is asked about after the patience only")
{
    asio::io_context io;
    scripted_store store(io, {{store_failure::unavailable, {}, {}}, {{}, {5}, {}}}, {});
    auto times = quick;
    times.patience = milliseconds{400};
    store_health health(boot_clock::now());
    health.failed(boot_clock::now(), "scripted");
    const auto began = boot_clock::now();
    const auto seen = follow(io, store, times, health);
    CHECK(seen.listed == 1);
    CHECK(boot_clock::now() - began >= times.patience);
}

// Guards against an outage that ended before a kind's own calls had failed for long: what lapsed in
// it would be dropped as if it had left.
TEST_CASE("an outage that a pulse has seen counts for each kind from the pulse on")
{
    asio::io_context io;
    scripted_store store(io, {{{}, {5}, {}}, {{}, {30}, {}}},
                         {{store_failure::unavailable, {}, {}}, {{}, {31}, {}}});
    auto times = quick;
    times.lost_after = seconds{1};
    times.patience = milliseconds{0};
    store_health health(boot_clock::now());
    store.before_failure = [&] { health.failed(boot_clock::now() - times.lost_after, "scripted"); };
    const auto seen = follow(io, store, times, health);
    CHECK(seen.listed == 2);
    CHECK(seen.returned == 1);
    CHECK(store.modes.back() == read_mode::fresh);
}
