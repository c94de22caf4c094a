/** @file standin_ledger.cpp Which requests ran, over all stand-in servers of a process. */
#include "standin_ledger.hpp"

#include <xxhash.h>

namespace sniperock {
namespace {

constexpr std::size_t doubled_limit = 100;

std::uint64_t hash_of(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

void run_ledger::note_run(const ledger_entry& entry)
{
    const auto id = hash_of(entry.request_id);
    {
        auto& part = shards_.at(id % shard_count);
        const std::lock_guard lock(part.mutex);
        if (part.runs.size() < shard_limit_ || part.runs.contains(id)) {
            ++part.runs[id];
        }
        else {
            ++part.totals.dropped;
        }
    }
    if (!entry.once) {
        return;
    }
    const auto name = entry.idempotency_key.empty() ? entry.request_id : entry.idempotency_key;
    const auto key = hash_of(name);
    auto& part = shards_.at(key % shard_count);
    const std::lock_guard lock(part.mutex);
    ++part.totals.once_runs;
    if (part.once.size() >= shard_limit_ && !part.once.contains(key)) {
        ++part.totals.dropped;
        return;
    }
    if (++part.once[key] > 1) {
        ++part.totals.doubles;
        if (part.doubled.size() < doubled_limit) {
            part.doubled.emplace_back(name);
        }
    }
}

std::uint32_t run_ledger::runs_of(std::string_view request_id) const
{
    const auto id = hash_of(request_id);
    const auto& part = shards_.at(id % shard_count);
    const std::lock_guard lock(part.mutex);
    const auto found = part.runs.find(id);
    return found == part.runs.end() ? 0 : found->second;
}

ledger_totals run_ledger::totals() const
{
    ledger_totals sum;
    for (const auto& part : shards_) {
        const std::lock_guard lock(part.mutex);
        sum.once_runs += part.totals.once_runs;
        sum.doubles += part.totals.doubles;
        sum.dropped += part.totals.dropped;
    }
    return sum;
}

std::vector<std::string> run_ledger::doubled() const
{
    std::vector<std::string> all;
    for (const auto& part : shards_) {
        const std::lock_guard lock(part.mutex);
        all.insert(all.end(), part.doubled.begin(), part.doubled.end());
    }
    all.resize(std::min(all.size(), doubled_limit));
    return all;
}

} // namespace sniperock
