/** @file entry_start.cpp Keeps a VM that has just started from using an outdated state of the
 * store.
 */
#include "entry_start.hpp"

#include "event_type.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace sniperock {
namespace {

/** A report of a configuration counts for this time; some heartbeats may be lost. */
constexpr seconds report_lifetime{3};
/** After this time the VM uses what it has read. */
constexpr seconds max_wait{10};

} // namespace

void start_guard::observe_era(store_era era, local_time now)
{
    const auto known = std::exchange(era_, std::max(era_, era));
    if (known != store_era{} && era > known) {
        restored_at_ = now;
    }
}

void start_guard::record_report(const store_view& report, local_time now)
{
    if (report.configuration >= reported_configuration_) {
        reported_configuration_ = report.configuration;
        reported_at_ = now;
    }
    if (report.era != store_era{} && report.era < era_ && !restored_at_) {
        // The other VM has not noticed the restore yet.
        restored_at_ = now;
    }
    observe_era(report.era, now);
    if (report.restored_ago) {
        const auto restored_at = now - *report.restored_ago;
        restored_at_ = std::max(restored_at_.value_or(restored_at), restored_at);
    }
}

store_view start_guard::make_report(config_version configuration, local_time now) const
{
    store_view report{configuration, era_, {}};
    if (restored_at_ && now - *restored_at_ < rewrite_time_) {
        report.restored_ago = std::chrono::duration_cast<milliseconds>(now - *restored_at_);
    }
    return report;
}

bool start_guard::lacks_something(config_version configuration, local_time now) const
{
    if (configuration == config_version{}) {
        return false;
    }
    if (restored_at_ && now - *restored_at_ < rewrite_time_) {
        return true;
    }
    return configuration < reported_configuration_ && now - reported_at_ < report_lifetime;
}

bool start_guard::is_outdated(config_version configuration, local_time now)
{
    const bool in_time = !outdated_since_ || now - *outdated_since_ < max_wait;
    const bool outdated = in_time && lacks_something(configuration, now);
    if (outdated && !outdated_since_) {
        outdated_since_ = now;
    }
    if (std::exchange(outdated_, outdated) != outdated) {
        log_change(outdated, configuration, now);
    }
    return outdated;
}

void start_guard::log_change(bool outdated, config_version configuration, local_time now)
{
    const auto waited = std::chrono::duration_cast<milliseconds>(now - *outdated_since_);
    log_event(outdated ? event::entry_outdated : event::entry_current,
              {{"configuration", std::to_string(configuration.value)},
               {"reported", std::to_string(reported_configuration_.value)},
               {"era", std::to_string(era_.value)},
               {"ms", std::to_string(waited.count())}});
}

} // namespace sniperock
