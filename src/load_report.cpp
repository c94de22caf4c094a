/** @file load_report.cpp Prints what callers got as a table and as JSON. */
#include "load_func.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <iomanip>
#include <sstream>

namespace sniperock {
namespace {

using nlohmann::json;

constexpr double us_per_ms = 1000;

double to_ms(microseconds time)
{
    return static_cast<double>(time.count()) / us_per_ms;
}

/** A counted column of the table. */
struct count_column {
    const char* title;
    std::uint64_t load_counts::*field;
};

constexpr std::array count_columns{
    count_column{"sent", &load_counts::sent},
    count_column{"answered", &load_counts::answered},
    count_column{"failed", &load_counts::failed},
    count_column{"not-run", &load_counts::not_run},
    count_column{"unknown", &load_counts::unknown},
    count_column{"cut-off", &load_counts::cut_off},
    count_column{"timed-out", &load_counts::timed_out},
    count_column{"not-sent", &load_counts::not_sent},
    count_column{"crossed", &load_counts::crossed},
    count_column{"damaged", &load_counts::damaged},
    count_column{"doubled", &load_counts::doubled},
    count_column{"retried", &load_counts::retried},
};

/** A latency column of the table. */
struct latency_column {
    const char* title;
    const char* json_name;
    double share;
};

constexpr std::array latency_columns{
    latency_column{"50% ms", "p50_ms", 0.5},  latency_column{"90% ms", "p90_ms", 0.9},
    latency_column{"99% ms", "p99_ms", 0.99}, latency_column{"99.9% ms", "p999_ms", 0.999},
    latency_column{"100% ms", "max_ms", 1.0},
};

constexpr int name_width = 12;
constexpr int class_width = 16;
constexpr int count_width = 10;

void print_row(std::ostream& out, const std::string& plan, const std::string& service,
               std::string_view kind, const load_counts& counts)
{
    out << std::left << std::setw(name_width) << plan << std::setw(name_width) << service
        << std::setw(class_width) << kind << std::right;
    for (const auto& column : count_columns) {
        out << std::setw(count_width) << counts.*column.field;
    }
    for (const auto& column : latency_columns) {
        out << std::fixed << std::setprecision(2) << std::setw(count_width)
            << to_ms(counts.latencies.quantile(column.share));
    }
    out << "\n";
}

json to_json(const load_counts& counts)
{
    json item;
    for (const auto& column : count_columns) {
        std::string name = column.title;
        std::ranges::replace(name, '-', '_');
        item[name] = counts.*column.field;
    }
    for (const auto& column : latency_columns) {
        item[column.json_name] = to_ms(counts.latencies.quantile(column.share));
    }
    item["reasons"] = counts.reasons;
    return item;
}

json to_json(const timeline_slice& slice)
{
    return {{"sent", slice.sent},
            {"answered", slice.answered},
            {"not_run", slice.not_run},
            {"lost", slice.lost},
            {"max_ms", to_ms(slice.longest)}};
}

} // namespace

std::string format_result(const load_result& result)
{
    std::ostringstream text;
    text << std::left << std::setw(name_width) << "plan" << std::setw(name_width) << "service"
         << std::setw(class_width) << "class" << std::right;
    for (const auto& column : count_columns) {
        text << std::setw(count_width) << column.title;
    }
    for (const auto& column : latency_columns) {
        text << std::setw(count_width) << column.title;
    }
    text << "\n";
    for (const auto& [row, counts] : result.rows) {
        print_row(text, row.plan, row.service, to_name(row.kind), counts);
    }
    const auto total = total_counts(result);
    if (result.rows.size() > 1) {
        print_row(text, "all", "", "", total);
    }
    for (const auto& [reason, count] : total.reasons) {
        text << "reason " << reason << ": " << count << "\n";
    }
    return text.str();
}

std::string format_result_json(const load_plan& plan, const load_result& result)
{
    json rows = json::array();
    for (const auto& [row, counts] : result.rows) {
        json item = to_json(counts);
        item["plan"] = row.plan;
        item["service"] = row.service;
        item["class"] = to_name(row.kind);
        rows.push_back(std::move(item));
    }
    json timeline = json::array();
    for (const auto& slice : result.timeline) {
        timeline.push_back(to_json(slice));
    }
    return json{{"seed", plan.seed},
                {"duration_ms", plan.duration.count()},
                {"most_connections", result.most_connections},
                {"not_run_asked", result.not_run_asked},
                {"not_run_ran", result.not_run_ran},
                {"rows", std::move(rows)},
                {"total", to_json(total_counts(result))},
                {"timeline_step_ms", timeline_step.count()},
                {"timeline", std::move(timeline)}}
        .dump(1);
}

} // namespace sniperock
