/** @file store_pulse_test.cpp A store that goes silent while watches wait. */
#include "store_pulse.hpp"

#include <catch2/catch.hpp>

#include <asio/io_context.hpp>

using namespace sniperock;

namespace {

/** A store that answers listings, refuses them, or leaves them open until they are dropped. */
class pulsed_store {
public:
    enum class mood { answering, refusing, silent };

    explicit pulsed_store(asio::io_context& io) : dropped_signal_(io.get_executor()) {}

    task<store_listing> list(const std::string&, read_mode mode)
    {
        ++lists;
        all_stale = all_stale && mode == read_mode::stale;
        if (now == mood::silent) {
            co_await dropped_signal_.wait_for(seconds{60});
        }
        if (now != mood::answering) {
            throw store_error(store_failure::unavailable, "scripted");
        }
        co_return store_listing{};
    }
    task<store_changes> watch(const std::string&, store_revision, milliseconds)
    {
        co_return store_changes{};
    }
    task<> create(const std::string&, const std::string&, const nlohmann::json&) { co_return; }
    void drop_connections()
    {
        ++drops;
        dropped_signal_.notify();
    }

    mood now = mood::answering;
    int lists = 0;
    int drops = 0;
    bool all_stale = true;

private:
    async_signal dropped_signal_;
};

constexpr pulse_times quick{milliseconds{40}, milliseconds{60}, milliseconds{20}};

struct pulsed {
    /** Lets the pulse run for @p time. */
    void run_for(milliseconds time)
    {
        io.restart();
        io.run_for(time);
    }

    asio::io_context io{1};
    pulsed_store store{io};
    store_health health{boot_clock::now()};
    random_engine random{1};
    store_pulse<pulsed_store> pulse{io.get_executor(), store, "few", quick, health, random};
};

} // namespace

// Guards against an outage that a waiting watch does not show: its answer may be lost in it.
TEST_CASE("a store without a sign of life loses every open connection until it answers again")
{
    const auto mood = GENERATE(pulsed_store::mood::silent, pulsed_store::mood::refusing);
    pulsed setup;
    start_task(setup.io.get_executor(), setup.pulse.run());
    setup.run_for(milliseconds{200});
    CHECK(setup.store.drops == 0);
    CHECK(setup.health.answering());
    setup.store.now = mood;
    setup.run_for(milliseconds{300});
    CHECK(setup.store.drops > 0);
    CHECK_FALSE(setup.health.answering());
    setup.store.now = pulsed_store::mood::answering;
    setup.run_for(milliseconds{300});
    CHECK(setup.health.answering());
    CHECK(setup.store.all_stale);
}

TEST_CASE("a store that was heard of otherwise is not asked")
{
    pulsed setup;
    start_task(setup.io.get_executor(), setup.pulse.run());
    for (int at = 0; at < 20; ++at) {
        setup.health.answered(boot_clock::now());
        setup.run_for(milliseconds{10});
    }
    CHECK(setup.store.lists == 0);
}
