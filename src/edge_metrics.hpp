/** @file edge_metrics.hpp What the callers' side measures. */
#pragma once

#include "dispatch_type.hpp"
#include "metrics.hpp"

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace sniperock {

/** Why input from a caller was refused. */
enum class refused_input { malformed, head_too_long, body_too_large, version, slow, idle, limit };

template <>
inline constexpr std::array enum_names<refused_input>{
    enum_name<refused_input>{refused_input::malformed, "malformed"},
    enum_name<refused_input>{refused_input::head_too_long, "head_too_long"},
    enum_name<refused_input>{refused_input::body_too_large, "body_too_large"},
    enum_name<refused_input>{refused_input::version, "version"},
    enum_name<refused_input>{refused_input::slow, "slow"},
    enum_name<refused_input>{refused_input::idle, "idle"},
    enum_name<refused_input>{refused_input::limit, "limit"},
};

/** Metrics of one plan; may be used by every thread. */
class plan_series {
public:
    plan_series(metrics& measured, std::string plan);

    /** Takes the time of one answered call. */
    void answered(call_class kind, nanoseconds latency)
    {
        answered_->Increment();
        latency_.at(static_cast<std::size_t>(kind))
            ->Observe(std::chrono::duration<double>(latency).count());
    }
    /** Counts a call that got no server's answer. */
    void not_answered(call_outcome outcome, std::string_view reason);

private:
    metrics& measured_;
    std::string plan_;
    prometheus::Counter* answered_;
    std::array<prometheus::Histogram*, enum_names<call_class>.size()> latency_{};
    std::mutex mutex_;
    std::map<std::pair<call_outcome, std::string>, prometheus::Counter*> others_;
};

/** Metrics of the callers' side; may be used by every thread. */
class edge_metrics {
public:
    explicit edge_metrics(metrics& measured);

    /** The series of a plan; the reference stays valid as long as this. */
    plan_series& of_plan(const std::string& plan);
    /** Counts refused input. */
    void refused(refused_input kind) { refused_.at(static_cast<std::size_t>(kind))->Increment(); }

    prometheus::Counter& retries;
    prometheus::Counter& hedges;
    prometheus::Counter& hedges_won;
    prometheus::Counter& resumes;
    prometheus::Counter& cancelled;
    prometheus::Counter& cut;
    prometheus::Gauge& connections;

private:
    metrics& measured_;
    std::array<prometheus::Counter*, enum_names<refused_input>.size()> refused_{};
    std::mutex mutex_;
    std::map<std::string, std::unique_ptr<plan_series>> plans_;
};

} // namespace sniperock
