/** @file server_health.hpp Latency, errors and suspension of one server. */
#pragma once

#include "clock_type.hpp"
#include "dispatch_type.hpp"
#include "enum_table.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace sniperock {

/** Whether a server may get new work. */
enum class server_standing {
    usable,
    /** Failed lately: only single trial calls, once its back-off has passed. */
    suspended,
    /** Says that it is leaving: nothing until a probe says otherwise. */
    draining,
};

template <>
inline constexpr std::array enum_names<server_standing>{
    enum_name<server_standing>{server_standing::usable, "usable"},
    enum_name<server_standing>{server_standing::suspended, "suspended"},
    enum_name<server_standing>{server_standing::draining, "draining"},
};

/** What one server showed through its answers; pure. */
class server_health {
public:
    /** Takes in how a call ended. @return true if the server is suspended by it. */
    bool on_call(const call_report& report, local_time now);
    /** Takes in a probe's report. @return true if the server came back by it. */
    bool on_probe(const load_report& report, local_time now);
    /** Takes in a probe that got no answer. */
    void on_probe_failure(local_time now);

    [[nodiscard]] server_standing standing() const { return standing_; }
    /** True if a single trial call may go to a suspended server. */
    [[nodiscard]] bool trial_due(local_time now) const;
    /** Recent latency with errors counted as slowness; for choosing among servers. */
    [[nodiscard]] nanoseconds cost() const;
    [[nodiscard]] nanoseconds latency() const
    {
        return nanoseconds{static_cast<std::int64_t>(latency_ns_)};
    }
    /** Recent part (0 to 1) of calls that failed. */
    [[nodiscard]] double error_rate() const { return error_rate_; }
    [[nodiscard]] local_time last_answer() const { return last_answer_; }
    /** Report that came last. */
    [[nodiscard]] const std::optional<load_report>& report() const { return report_; }

private:
    void suspend(local_time now);
    void note_error(double value);

    server_standing standing_ = server_standing::usable;
    double latency_ns_ = 0;
    double error_rate_ = 0;
    std::uint32_t failures_ = 0;
    milliseconds backoff_{0};
    local_time retry_at_{};
    local_time last_answer_{};
    std::optional<load_report> report_;
};

} // namespace sniperock
