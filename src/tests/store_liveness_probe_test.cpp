/** @file store_liveness_probe_test.cpp Tests of store outages while watches are pending. */
#include "store_liveness_probe.hpp"

#include <catch2/catch.hpp>

#include <asio/io_context.hpp>

using namespace sniperock;

namespace {

/** A fake store that answers listings, refuses them, or leaves them pending until connections are
 * dropped. */
class probed_store {
public:
    enum class store_mode { answering, refusing, silent };

    explicit probed_store(asio::io_context& io) : dropped_signal_(io.get_executor()) {}

    task<store_listing> list(const std::string&, read_mode mode)
    {
        ++lists;
        all_lists_stale = all_lists_stale && mode == read_mode::stale;
        if (current_mode == store_mode::silent) {
            co_await dropped_signal_.wait_for(seconds{60});
        }
        if (current_mode != store_mode::answering) {
            throw store_error(store_failure::unavailable, "scripted");
        }
        co_return store_listing{};
    }
    task<store_changes> watch(const std::string&, store_revision, milliseconds, read_mode)
    {
        co_return store_changes{};
    }
    task<> create(const std::string&, const std::string&, const nlohmann::json&) { co_return; }
    void cancel_watch(const std::string&) {}
    [[nodiscard]] store_era newest_era() const { return era; }
    store_era era;
    void drop_connections()
    {
        ++drops;
        dropped_signal_.notify();
    }

    store_mode current_mode = store_mode::answering;
    int lists = 0;
    int drops = 0;
    bool all_lists_stale = true;

private:
    async_signal dropped_signal_;
};

constexpr probe_timing short_timing{milliseconds{40}, milliseconds{60}, milliseconds{20}};

struct probe_fixture {
    /** Runs the probe for @p time. */
    void run_for(milliseconds time)
    {
        io.restart();
        io.run_for(time);
    }

    asio::io_context io{1};
    probed_store store{io};
    store_health health{boot_clock::now()};
    random_engine random{1};
    store_liveness_probe<probed_store> probe{io.get_executor(), store,  "few",
                                             short_timing,      health, random};
};

} // namespace

// Guards against an outage that a pending watch does not reveal, as the watch looks the same when
// its answer was lost.
TEST_CASE("each failed probe drops every open connection until the store answers again")
{
    const auto outage_mode =
        GENERATE(probed_store::store_mode::silent, probed_store::store_mode::refusing);
    probe_fixture setup;
    start_task(setup.io.get_executor(), setup.probe.run());
    setup.run_for(milliseconds{200});
    CHECK(setup.store.drops == 0);
    CHECK(setup.health.is_answering());
    setup.store.current_mode = outage_mode;
    setup.run_for(milliseconds{300});
    CHECK(setup.store.drops > 0);
    CHECK_FALSE(setup.health.is_answering());
    setup.store.current_mode = probed_store::store_mode::answering;
    setup.run_for(milliseconds{300});
    CHECK(setup.health.is_answering());
    CHECK(setup.store.all_lists_stale);
}

// Guards against a VM with a long idle interval that waits for it during an outage that it has
// already noticed.
TEST_CASE("a probe that was requested and failed is repeated at once, not after the idle interval")
{
    probe_fixture setup;
    setup.probe.set_idle_interval(seconds{60});
    start_task(setup.io.get_executor(), setup.probe.run());
    setup.store.current_mode = probed_store::store_mode::refusing;
    setup.probe.request();
    setup.run_for(milliseconds{100});
    CHECK_FALSE(setup.health.is_answering());
    setup.store.current_mode = probed_store::store_mode::answering;
    setup.run_for(milliseconds{100});
    CHECK(setup.health.is_answering());
}

TEST_CASE("a store that was heard from within the idle interval is not probed")
{
    probe_fixture setup;
    start_task(setup.io.get_executor(), setup.probe.run());
    for (int i = 0; i < 20; ++i) {
        setup.health.record_answer(boot_clock::now());
        setup.run_for(milliseconds{10});
    }
    CHECK(setup.store.lists == 0);
}
