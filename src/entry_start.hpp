/** @file entry_start.hpp Keeps a VM that has just started from using an outdated state of the
 * store.
 */
#pragma once

#include "clock_type.hpp"
#include "store_news.hpp"
#include "strong_id.hpp"

#include <optional>

namespace sniperock {

/**
 * Compares what a VM has read after its start with what the other VMs report.
 *
 * A store that was restored from a copy shows the state of the copy until its writers have written
 * again what was lost. VMs that run keep what they knew; one that starts has only the copy, in
 * which a configuration, an evacuation, or the leaving of an upstream may be missing.
 */
class start_guard {
public:
    /** @param rewrite_time time after a restore within which the upstreams have registered again.
     */
    explicit start_guard(milliseconds rewrite_time) : rewrite_time_(rewrite_time) {}

    /** Records the era in which the store answers; a later one than before means a restore. */
    void observe_era(store_era era, local_time now);
    /** Records what another VM reports. */
    void record_report(const store_view& report, local_time now);
    /** What this VM reports to the others. @param configuration the version in force here. */
    [[nodiscard]] store_view make_report(config_version configuration, local_time now) const;
    /**
     * True if what was read may lack something that other VMs know. It is not for longer than some
     * seconds, as what the store lost may stay lost.
     * @param configuration the version that was read; 0 if none was, so that nothing is used yet.
     */
    bool is_outdated(config_version configuration, local_time now);

private:
    [[nodiscard]] bool lacks_something(config_version configuration, local_time now) const;
    void log_change(bool outdated, config_version configuration, local_time now);

    milliseconds rewrite_time_;
    store_era era_;
    std::optional<local_time> restored_at_;
    /** Newest configuration that another VM has in force, and when it was last reported. */
    config_version reported_configuration_;
    local_time reported_at_;
    /** When this VM was found to be outdated, and whether it still is. */
    std::optional<local_time> outdated_since_;
    bool outdated_ = false;
};

} // namespace sniperock
