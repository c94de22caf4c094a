/** @file event.cpp Formats numbered events and passes them to the log writer. */
#include "clock_type.hpp"
#include "enum_table.hpp"
#include "event_type.hpp"
#include "log_writer.hpp"
#include "table/event_table.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cassert>
#include <cstdio>
#include <memory>
#include <mutex>
#include <sstream>

#include <unistd.h>

namespace sniperock {

template <>
inline constexpr std::array enum_names<event_level>{
    enum_name<event_level>{event_level::debug, "debug"},
    enum_name<event_level>{event_level::info, "info"},
    enum_name<event_level>{event_level::warning, "warning"},
    enum_name<event_level>{event_level::error, "error"},
};

namespace {

constexpr std::size_t default_buffer = 131'072;
constexpr std::size_t default_rate = 1000;

std::atomic<event_level> min_level{event_level::info};

/** Number of lines dropped because of the rate limit or the buffer limit. */
std::atomic<std::uint64_t> lines_dropped{0};

/** The log of the process: its writer and the line counts of the current second. */
struct process_log {
    std::mutex mutex;
    log_setup setup{"", default_buffer, default_rate};
    std::unique_ptr<log_writer> writer;
    local_time second_start;
    std::size_t lines_in_second = 0;
    std::size_t lines_over_rate = 0;
};

process_log& log_instance()
{
    static process_log log;
    return log;
}

const event_descriptor& descriptor_of(event number)
{
    const auto row = std::ranges::find(event_table, number, &event_descriptor::number);
    return row == event_table.end() ? event_table.front() : *row;
}

/** Quotes a value if it is empty or contains a space, a quote, an equals sign or a line break. */
std::string quoted(const std::string& value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\r") == std::string::npos) {
        return value;
    }
    std::string result = "\"";
    for (const char ch : value) {
        if (ch == '"' || ch == '\\') {
            result += '\\';
        }
        result += ch == '\n' || ch == '\r' ? ' ' : ch;
    }
    return result + "\"";
}

/** Seconds since 1970 with milliseconds. */
std::string time_text()
{
    const auto us = to_unix_us(wall_now());
    std::array<char, 40> text{};
    const auto size = std::snprintf(text.data(), text.size(), "%lld.%03lld",
                                    static_cast<long long>(us / 1'000'000),
                                    static_cast<long long>(us / 1000 % 1000));
    return {text.data(), static_cast<std::size_t>(size)};
}

std::string format_line(const event_descriptor& row, const std::string& vm,
                        std::initializer_list<event_field> fields)
{
    std::string line = "time=" + time_text() + " level=" + std::string{to_name(row.level)} +
                       " event=SR" + std::to_string(static_cast<int>(row.number)) +
                       " name=" + std::string{row.name} + " vm=" + quoted(vm);
    for (const auto& field : fields) {
        line += " ";
        line += field.name;
        line += "=";
        line += quoted(field.value);
    }
    return line + "\n";
}

/** True if the fields are those of the catalogue, in the same order. */
[[maybe_unused]] bool fields_match_catalogue(const event_descriptor& row,
                                             std::initializer_list<event_field> fields)
{
    std::string names;
    for (const auto& field : fields) {
        names += (names.empty() ? "" : " ") + std::string{field.name};
    }
    return names == row.fields;
}

/** Formats the line that reports the number of dropped lines. */
std::string dropped_line(const std::string& vm, std::uint64_t lines)
{
    return format_line(descriptor_of(event::log_lines_dropped), vm,
                       {{"lines", std::to_string(lines)}});
}

/** Categories under the rate limit: lines about calls are as frequent as calls, whereas the other
 * categories report rare changes. */
bool is_rate_limited(const event_descriptor& row)
{
    return row.category == "calls" || row.category == "upstreams" || row.category == "members";
}

/** True if a line may be written in this second; reports the dropped lines of the previous one. */
bool within_rate_limit(process_log& log)
{
    const auto now = boot_clock::now();
    if (now - log.second_start >= seconds{1}) {
        if (log.lines_over_rate > 0) {
            log.writer->write(dropped_line(log.setup.vm, log.lines_over_rate));
        }
        log.second_start = now;
        log.lines_in_second = 0;
        log.lines_over_rate = 0;
    }
    if (log.lines_in_second >= log.setup.rate) {
        ++log.lines_over_rate;
        ++lines_dropped;
        return false;
    }
    ++log.lines_in_second;
    return true;
}

} // namespace

void log_event(event number, std::initializer_list<event_field> fields)
{
    const auto& row = descriptor_of(number);
    if (row.level < min_level.load(std::memory_order_relaxed)) {
        return;
    }
    // Sanitizer builds check every line that the tests log against the catalogue.
    assert(fields_match_catalogue(row, fields));
    auto& log = log_instance();
    const std::lock_guard lock(log.mutex);
    if (!log.writer) {
        log.writer = std::make_unique<log_writer>(STDOUT_FILENO, log.setup.buffer,
                                                  [vm = log.setup.vm](std::uint64_t lines) {
                                                      lines_dropped += lines;
                                                      return dropped_line(vm, lines);
                                                  });
    }
    if (!is_rate_limited(row) || within_rate_limit(log)) {
        log.writer->write(format_line(row, log.setup.vm, fields));
    }
}

void set_log_level(event_level level)
{
    min_level.store(level, std::memory_order_relaxed);
}

void set_up_log(const log_setup& setup)
{
    auto& log = log_instance();
    const std::lock_guard lock(log.mutex);
    log.setup = setup;
    if (log.writer) {
        log.writer->set_limit(setup.buffer);
    }
}

std::uint64_t dropped_log_lines()
{
    return lines_dropped;
}

void close_log()
{
    auto& log = log_instance();
    const std::lock_guard lock(log.mutex);
    log.writer.reset();
}

std::string event_catalogue()
{
    std::ostringstream page;
    page << "# Log events\n\n"
         << "Each line on standard output is `time=SECONDS level=LEVEL event=SRnumber name=NAME "
            "vm=VM field=value ...`;\n"
         << "values with spaces are quoted. `sniperock events` prints this page.\n\n"
         << "| number | level | category | name | fields | meaning |\n|---|---|---|---|---|---|\n";
    for (const auto& row : event_table) {
        page << "| SR" << static_cast<int>(row.number) << " | " << to_name(row.level) << " | "
             << row.category << " | " << row.name << " | " << row.fields << " | " << row.text
             << " |\n";
    }
    return page.str();
}

} // namespace sniperock
