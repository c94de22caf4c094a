/** @file event.cpp Writes numbered events through easylogging++. */
#include "enum_table.hpp"
#include "event_type.hpp"
#include "table/event_table.hpp"

#include <easylogging++.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <sstream>

INITIALIZE_EASYLOGGINGPP

namespace sniperock {

template <>
inline constexpr std::array enum_names<event_level>{
    enum_name<event_level>{event_level::debug, "debug"},
    enum_name<event_level>{event_level::info, "info"},
    enum_name<event_level>{event_level::warning, "warning"},
    enum_name<event_level>{event_level::error, "error"},
};

namespace {

std::atomic<event_level> least_level{event_level::info};

const event_descriptor& describe(event number)
{
    const auto row = std::ranges::find(event_table, number, &event_descriptor::number);
    return row == event_table.end() ? event_table.front() : *row;
}

/** Quotes a value if it holds a space or a quote. */
std::string quoted(const std::string& value)
{
    if (value.find_first_of(" \"\n\r") == std::string::npos) {
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

el::Level to_library_level(event_level level)
{
    constexpr std::array levels{el::Level::Debug, el::Level::Info, el::Level::Warning,
                                el::Level::Error};
    return levels.at(static_cast<std::size_t>(level));
}

/** Configures the log library once: standard error, one line per event. */
void configure_once()
{
    static const bool configured = [] {
        el::Configurations config;
        config.setToDefault();
        config.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
        config.setGlobally(el::ConfigurationType::ToFile, "false");
        config.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
        el::Loggers::reconfigureAllLoggers(config);
        return true;
    }();
    static_cast<void>(configured);
}

} // namespace

void log_event(event number, std::initializer_list<event_field> fields)
{
    const auto& row = describe(number);
    if (row.level < least_level.load(std::memory_order_relaxed)) {
        return;
    }
    configure_once();
    std::ostringstream line;
    line << "SR" << static_cast<int>(row.number) << " " << to_name(row.level) << " " << row.category
         << " " << row.name;
    for (const auto& field : fields) {
        line << " " << field.name << "=" << quoted(field.value);
    }
    el::Loggers::getLogger("default");
    el::base::Writer(to_library_level(row.level), __FILE__, __LINE__, "",
                     el::base::DispatchAction::NormalLog)
            .construct(1, "default")
        << line.str();
}

void set_log_level(event_level least)
{
    least_level.store(least, std::memory_order_relaxed);
}

std::string event_catalogue()
{
    std::ostringstream page;
    page << "# Log events\n\n"
         << "Each line of the log is `time SRnumber level category name field=value ...`.\n"
         << "`sniperock events` prints this page.\n\n"
         << "| number | level | category | name | meaning |\n|---|---|---|---|---|\n";
    for (const auto& row : event_table) {
        page << "| SR" << static_cast<int>(row.number) << " | " << to_name(row.level) << " | "
             << row.category << " | " << row.name << " | " << row.text << " |\n";
    }
    return page.str();
}

} // namespace sniperock
