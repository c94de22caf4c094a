/** @file store_revision_tracker.hpp Newest revisions of each kind that this VM and others have
 * seen. */
#pragma once

#include "clock_type.hpp"
#include "enum_table.hpp"
#include "strong_id.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace sniperock {

/** What a VM follows in the store. */
enum class followed_kind : std::uint8_t { configurations, upstreams, evacuations };

template <>
inline constexpr std::array enum_names<followed_kind>{
    enum_name<followed_kind>{followed_kind::configurations, "configurations"},
    enum_name<followed_kind>{followed_kind::upstreams, "upstreams"},
    enum_name<followed_kind>{followed_kind::evacuations, "evacuations"},
};

/** A revision for each kind that is followed, by the kind's number. */
using kind_revisions = std::array<store_revision, enum_names<followed_kind>.size()>;

/** Tells a watch that missed a change: other VMs have seen a newer one. Used by one thread. */
class store_revision_tracker {
public:
    /** This VM has seen a change of a kind, of revision @p at. */
    void saw(followed_kind kind, store_revision at)
    {
        auto& known = seen_.at(index(kind));
        known = std::max(known, at);
    }
    /** Another VM has seen these changes. */
    void heard(const kind_revisions& others, local_time now)
    {
        for (std::size_t at = 0; at < others.size(); ++at) {
            if (others.at(at) > heard_.at(at)) {
                heard_.at(at) = others.at(at);
                heard_at_.at(at) = now;
            }
        }
    }
    /** The newest changes that this VM has seen. */
    [[nodiscard]] const kind_revisions& seen() const { return seen_; }
    /** The newest change that another VM has seen. */
    [[nodiscard]] store_revision heard(followed_kind kind) const { return heard_.at(index(kind)); }
    /** When that was heard first. */
    [[nodiscard]] local_time heard_at(followed_kind kind) const
    {
        return heard_at_.at(index(kind));
    }

private:
    static std::size_t index(followed_kind kind) { return static_cast<std::size_t>(kind); }

    kind_revisions seen_{};
    kind_revisions heard_{};
    std::array<local_time, enum_names<followed_kind>.size()> heard_at_{};
};

} // namespace sniperock
