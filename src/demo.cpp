/** @file demo.cpp The whole system in one process, while a failure domain leaves and returns. */
#include "demo_func.hpp"
#include "demo_promises.hpp"
#include "demo_system.hpp"
#include "event_type.hpp"
#include "load_func.hpp"

#include <algorithm>
#include <future>
#include <iomanip>
#include <iostream>
#include <ranges>
#include <thread>

namespace sniperock {
namespace {

constexpr seconds load_time{14};
constexpr seconds out_at{4};
constexpr seconds back_at{10};
/** New work must have ended in a failure domain this long after it was taken out. */
constexpr seconds out_within{3};

load_plan make_load(const demo_system& system)
{
    load_plan plan;
    plan.locate = system.caller_endpoints();
    plan.duration = load_time;
    plan.retries = 0;
    for (const char* text :
         {"plan=gold key=gold-key host=portal.example path=/status rate=600",
          "plan=basic key=basic-key host=portal.example path=/status rate=600",
          "plan=gold key=gold-key host=portal.example method=POST path=/bookings rate=60 body=300 "
          "idempotency=yes",
          "plan=basic key=basic-key host=portal.example method=POST path=/bookings rate=60 "
          "body=300",
          "plan=basic key=basic-key host=archive.example path=/bytes/200000 rate=60"}) {
        plan.streams.push_back(parse_load_stream(text, "demo"));
    }
    return plan;
}

void print_pages(const demo_system& system)
{
    std::cout << "4 entry vms serve " << system.servers().size()
              << " servers in 3 failure domains; while this runs, see\n";
    for (const auto& endpoint : system.page_endpoints()) {
        std::cout << "  http://" << endpoint << "/status  http://" << endpoint << "/metrics\n";
    }
    std::cout << std::flush;
}

/** Takes the failure domain out and back. @return calls that began in it while it was out. */
std::uint64_t leave_and_return(demo_system& system, local_time start)
{
    const auto sleep_until = [start](seconds at) {
        std::this_thread::sleep_for(start + at - boot_clock::now());
    };
    sleep_until(out_at);
    std::cout << out_at.count() << " s: taking failure domain " << demo_leaving_domain << " out"
              << std::endl;
    system.take_out(demo_leaving_domain);
    sleep_until(out_at + out_within);
    const auto before = system.calls_in(demo_leaving_domain);
    sleep_until(back_at);
    const auto after = system.calls_in(demo_leaving_domain);
    std::cout << back_at.count() << " s: taking failure domain " << demo_leaving_domain << " back"
              << std::endl;
    system.take_back(demo_leaving_domain);
    return after - before;
}

run_outcome collect(const demo_system& system, load_result load, std::uint64_t calls_while_out,
                    local_time began)
{
    run_outcome run;
    run.load = std::move(load);
    run.calls_while_out = calls_while_out;
    run.ledger = system.ledger().totals();
    run.false_not_run = static_cast<std::uint64_t>(
        std::ranges::count_if(run.load.not_run_ids, [&](const std::string& id) {
            return system.ledger().runs_of(id) > 0;
        }));
    for (const auto& item : system.servers()) {
        run.servers.push_back({item.behaviour, item.server->record(), item.service});
    }
    // One probe a second is the configured budget of each service; one more may begin at once.
    const auto passed = std::chrono::ceil<seconds>(boot_clock::now() - began);
    run.probes_allowed = static_cast<std::uint64_t>(passed.count()) + 1;
    return run;
}

void print_timeline(const load_result& result)
{
    const std::size_t slices_per_second = seconds{1} / timeline_step;
    std::cout << "\nsecond      sent  answered   not-run      lost   longest ms\n";
    for (std::size_t first = 0; first + slices_per_second <= result.timeline.size();
         first += slices_per_second) {
        timeline_slice sum;
        for (const auto& slice :
             result.timeline | std::views::drop(first) | std::views::take(slices_per_second)) {
            sum.sent += slice.sent;
            sum.answered += slice.answered;
            sum.not_run += slice.not_run;
            sum.lost += slice.lost;
            sum.longest = std::max(sum.longest, slice.longest);
        }
        const seconds second{static_cast<std::int64_t>(first / slices_per_second)};
        std::cout << std::setw(6) << second.count() << std::setw(10) << sum.sent << std::setw(10)
                  << sum.answered << std::setw(10) << sum.not_run << std::setw(10) << sum.lost
                  << std::setw(13) << std::chrono::duration_cast<milliseconds>(sum.longest).count()
                  << (second == out_at    ? "  out"
                      : second == back_at ? "  back"
                                          : "")
                  << "\n";
    }
}

void print_servers(const run_outcome& run)
{
    const auto most = [&](auto field) {
        return std::ranges::max(run.servers | std::views::transform([field](const auto& server) {
                                    return server.record.*field;
                                }));
    };
    const auto total = total_counts(run.load);
    std::cout << "\ncut off: " << total.cut_off << "; ran twice: " << run.ledger.doubles << " of "
              << run.ledger.once_runs << "; told as not run but ran: " << run.false_not_run
              << "\nmost in flight on a server: " << most(&server_record::most_in_flight) << " of "
              << run.servers.front().behaviour.slots
              << "; while cold: " << most(&server_record::most_cold_in_flight) << " of "
              << run.servers.front().behaviour.cold_slots << "\ncalls that began in "
              << demo_leaving_domain << " from " << out_within.count()
              << " s after it was taken out: " << run.calls_while_out << "\n";
}

} // namespace

int run_demo()
{
    set_log_level(event_level::error);
    const auto began = boot_clock::now();
    demo_system system;
    system.start();
    print_pages(system);
    const auto plan = make_load(system);
    const auto start = boot_clock::now();
    auto load = std::async(std::launch::async, [&plan] { return run_load(plan); });
    const auto calls_while_out = leave_and_return(system, start);
    const auto run = collect(system, load.get(), calls_while_out, began);
    std::cout << "\n" << format_result(run.load);
    print_timeline(run.load);
    print_servers(run);
    const auto broken = broken_promises(run);
    std::ranges::for_each(broken,
                          [](const std::string& line) { std::cout << "broken: " << line << "\n"; });
    std::cout << (broken.empty() ? "every promise held\n" : "") << std::flush;
    system.stop();
    return broken.empty() ? 0 : 1;
}

} // namespace sniperock
