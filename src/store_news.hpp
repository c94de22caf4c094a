/** @file store_news.hpp Newest revision of each kind received by this VM and by others. */
#pragma once

#include "clock_type.hpp"
#include "enum_table.hpp"
#include "strong_id.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace sniperock {

/** Kinds of objects that a VM watches in the store. */
enum class watched_kind : std::uint8_t { configurations, upstreams, evacuations, rollouts };

template <>
inline constexpr std::array enum_names<watched_kind>{
    enum_name<watched_kind>{watched_kind::configurations, "configurations"},
    enum_name<watched_kind>{watched_kind::upstreams, "upstreams"},
    enum_name<watched_kind>{watched_kind::evacuations, "evacuations"},
    enum_name<watched_kind>{watched_kind::rollouts, "rollouts"},
};

/** A revision for each watched kind, indexed by watched_kind. */
using kind_revisions = std::array<store_revision, enum_names<watched_kind>.size()>;

/** What a VM tells the others of the store's state, for those that start. */
struct store_view {
    /** Version in force; 0 if there is none. */
    config_version configuration;
    /** Newest era in which the store has answered; 0 if it is not known. */
    store_era era{};
    /** Time since the store was restored from a copy; empty if that was not lately. */
    std::optional<milliseconds> restored_ago{};
};

/** Compares the revisions that this VM has received from the store with those that other VMs
 * report, which reveals a watch that missed a change. Used by one thread. */
class store_revision_tracker {
public:
    /** Records a change of a kind that this VM has received from the store. */
    void record_local(watched_kind kind, store_revision revision)
    {
        auto& newest = local_revisions_.at(index(kind));
        newest = std::max(newest, revision);
        newest_era_ = std::max(newest_era_, revision.era);
    }
    /** Records the revisions reported by another VM. */
    void record_remote(const kind_revisions& remote, local_time now)
    {
        for (std::size_t i = 0; i < remote.size(); ++i) {
            auto& reports = reports_.at(i);
            auto revision = remote.at(i);
            if (revision.era == store_era{}) {
                // VMs of earlier releases report no era.
                revision.era = newest_era_;
            }
            newest_era_ = std::max(newest_era_, revision.era);
            if (revision.value == 0 || revision <= newest_of(reports)) {
                continue;
            }
            while (!reports.empty() && reports.front().revision <= local_revisions_.at(i)) {
                reports.pop_front();
            }
            if (reports.size() == max_reports) {
                // The time of the oldest report not yet received matters, so newer ones are merged.
                reports.back().revision = revision;
            }
            else {
                reports.push_back({revision, now});
            }
        }
    }
    /** Newest revision of each kind that this VM has received. */
    [[nodiscard]] const kind_revisions& local_revisions() const { return local_revisions_; }
    /** Newest revision of a kind that any other VM has reported. */
    [[nodiscard]] store_revision remote_revision(watched_kind kind) const
    {
        return newest_of(reports_.at(index(kind)));
    }
    /** Newest era of the store in which this VM or another one has received a change. */
    [[nodiscard]] store_era newest_era() const { return newest_era_; }
    /** When a revision of a kind after @p revision was first reported by another VM; empty if none
     * was. */
    [[nodiscard]] std::optional<local_time> first_reported_after(watched_kind kind,
                                                                 store_revision revision) const
    {
        const auto& reports = reports_.at(index(kind));
        const auto found = std::ranges::find_if(
            reports, [revision](const report& item) { return item.revision > revision; });
        return found == reports.end() ? std::nullopt : std::optional{found->heard_at};
    }

private:
    /** A revision and when another VM first reported it. */
    struct report {
        store_revision revision;
        local_time heard_at;
    };

    /** Reports kept of one kind; announcers batch changes, so there are a few in a second. */
    static constexpr std::size_t max_reports = 16;

    static std::size_t index(watched_kind kind) { return static_cast<std::size_t>(kind); }
    static store_revision newest_of(const std::deque<report>& reports)
    {
        return reports.empty() ? store_revision{} : reports.back().revision;
    }

    kind_revisions local_revisions_{};
    store_era newest_era_;
    std::array<std::deque<report>, enum_names<watched_kind>.size()> reports_;
};

} // namespace sniperock
