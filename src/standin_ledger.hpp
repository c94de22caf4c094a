/** @file standin_ledger.hpp Which requests ran, over all stand-in servers of a process. */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sniperock {

/** One request as it begins to run. */
struct ledger_entry {
    std::string_view request_id;
    /** Empty if the request has none. */
    std::string_view idempotency_key;
    /** The request may run at most once. */
    bool once = false;
};

/** Totals of a ledger. */
struct ledger_totals {
    /** Runs of requests that may run at most once. */
    std::uint64_t once_runs = 0;
    /** Such runs beyond a request's first. */
    std::uint64_t doubles = 0;
    /** Runs not entered because the ledger was full. */
    std::uint64_t dropped = 0;
};

/**
 * Remembers, by hash, every request that ran. A request that may run at most once is known by its
 * idempotency key, or by its request id if it has none. Every member may be called from any thread.
 */
class run_ledger {
public:
    /** @param limit most entries kept. */
    explicit run_ledger(std::size_t limit) : shard_limit_(limit / shard_count) {}

    void note_run(const ledger_entry& entry);
    /** How often a request ran. */
    [[nodiscard]] std::uint32_t runs_of(std::string_view request_id) const;
    [[nodiscard]] ledger_totals totals() const;
    /** Request ids that ran more than once and must not have; at most 100. */
    [[nodiscard]] std::vector<std::string> doubled() const;

private:
    static constexpr std::size_t shard_count = 16;

    struct shard {
        mutable std::mutex mutex;
        std::unordered_map<std::uint64_t, std::uint32_t> runs;
        std::unordered_map<std::uint64_t, std::uint32_t> once;
        std::vector<std::string> doubled;
        ledger_totals totals;
    };

    std::size_t shard_limit_;
    std::array<shard, shard_count> shards_;
};

} // namespace sniperock
