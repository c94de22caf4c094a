/** @file store_news.hpp Newest revision of each kind received by this VM and by others. */
#pragma once

#include "clock_type.hpp"
#include "enum_table.hpp"
#include "strong_id.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace sniperock {

/** Kinds of objects that a VM watches in the store. */
enum class watched_kind : std::uint8_t { configurations, upstreams, evacuations };

template <>
inline constexpr std::array enum_names<watched_kind>{
    enum_name<watched_kind>{watched_kind::configurations, "configurations"},
    enum_name<watched_kind>{watched_kind::upstreams, "upstreams"},
    enum_name<watched_kind>{watched_kind::evacuations, "evacuations"},
};

/** A revision for each watched kind, indexed by watched_kind. */
using kind_revisions = std::array<store_revision, enum_names<watched_kind>.size()>;

/** Compares the revisions that this VM has received from the store with those that other VMs
 * report, which reveals a watch that missed a change. Used by one thread. */
class store_revision_tracker {
public:
    /** Records a change of a kind that this VM has received from the store. */
    void record_local(watched_kind kind, store_revision revision)
    {
        auto& newest = local_revisions_.at(index(kind));
        newest = std::max(newest, revision);
    }
    /** Records the revisions reported by another VM. */
    void record_remote(const kind_revisions& remote, local_time now)
    {
        for (std::size_t i = 0; i < remote.size(); ++i) {
            if (remote.at(i) > remote_revisions_.at(i)) {
                remote_revisions_.at(i) = remote.at(i);
                remote_updated_at_.at(i) = now;
            }
        }
    }
    /** Newest revision of each kind that this VM has received. */
    [[nodiscard]] const kind_revisions& local_revisions() const { return local_revisions_; }
    /** Newest revision of a kind that any other VM has reported. */
    [[nodiscard]] store_revision remote_revision(watched_kind kind) const
    {
        return remote_revisions_.at(index(kind));
    }
    /** When remote_revision() was first reported. */
    [[nodiscard]] local_time remote_updated_at(watched_kind kind) const
    {
        return remote_updated_at_.at(index(kind));
    }

private:
    static std::size_t index(watched_kind kind) { return static_cast<std::size_t>(kind); }

    kind_revisions local_revisions_{};
    kind_revisions remote_revisions_{};
    std::array<local_time, enum_names<watched_kind>.size()> remote_updated_at_{};
};

} // namespace sniperock
