/** @file rollout_board.hpp What a VM knows of the roll-outs of all services. */
#pragma once

#include "random_type.hpp"
#include "rollout_judge.hpp"
#include "rollout_type.hpp"
#include "upstream_type.hpp"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/** Which versions of a service a request may be sent to. */
enum class version_choice {
    /** All that are known. */
    any,
    /** All but the target of the service's roll-out. */
    stable,
    /** The target, as a part of its small share; another version if its upstreams are busy. */
    sample,
    /** The target. */
    target,
};

/** How a request ended that ran at an upstream. */
struct rollout_outcome {
    bool failed = false;
    /** Time in ms, relative to the upstream's load; empty if it says nothing of the version. */
    std::optional<double> time_ms;
};

/** One roll-out as this VM knows it. */
struct rollout_record {
    rollout_order order;
    local_time ordered_at;
    rollout_state state = rollout_state::running;
    local_time state_since;
    /** Revision of the order's object, which a change of its status must name; empty if this VM has
     * only heard of it. */
    std::optional<store_revision> revision;
    /** What the status in the store stated when it was last read. */
    std::optional<rollout_state> stored_state;
    /** The order was deleted. */
    bool withdrawn = false;

    [[nodiscard]] milliseconds age(local_time now) const;
    [[nodiscard]] milliseconds state_age(local_time now) const;
    /** True while a verdict is due. */
    [[nodiscard]] bool undecided() const
    {
        return !withdrawn && (state == rollout_state::running || state == rollout_state::promoting);
    }
};

/**
 * Orders, what is decided about them, and the evidence of this VM and of those that report to it.
 *
 * Upstreams of the target version get requests as far as the order allows. Those of a version that
 * nobody has ordered get none until it is certain that no order for it is on its way.
 */
class rollout_board {
public:
    /** @param self incarnation of this VM's process. */
    rollout_board(rollout_settings settings, incarnation self) : settings_(settings), self_(self) {}

    [[nodiscard]] bool enabled() const { return settings_.enabled(); }

    /** Replaces what is known of the store's orders by a complete listing. */
    void apply_listing(const std::vector<stored_rollout>& orders, local_time now);
    /** The store holds an order, or has changed its status. */
    void apply(const stored_rollout& stored, local_time now);
    /** The order of a service was deleted. */
    void withdraw(std::string_view service, local_time now);
    /** Another VM reports an order. */
    void receive(const rollout_report& report, local_time now);
    /** Enters a state that this VM, or the store, has decided. */
    void enter(const rollout_id& id, rollout_state state, local_time now);

    /** Takes note of the versions of the upstreams of a service. */
    void observe_versions(const std::string& service, const std::vector<upstream_ptr>& items,
                          local_time now);
    /** Selects the versions for the first attempt of a request. */
    [[nodiscard]] version_choice choose(std::string_view service, random_engine& random,
                                        local_time now) const;
    /** Selects those for a repeat, which must not be a part of the small share. */
    [[nodiscard]] version_choice choose_for_repeat(std::string_view service, local_time now) const;
    /** True if the choice allows the upstream. */
    [[nodiscard]] bool admits(const upstream_entry& entry, version_choice choice,
                              local_time now) const;
    /** True if a request that was meant for the upstream may still be sent to it. */
    [[nodiscard]] bool may_send(const upstream_entry& entry, local_time now) const
    {
        return admits(entry, version_choice::stable, now) ||
               admits(entry, version_choice::target, now);
    }
    /** Share of the requests that the target of a service's order gets now. */
    [[nodiscard]] double share_of(std::string_view service, local_time now) const;

    /** A request has ended at an upstream. */
    void record(const upstream_entry& entry, std::string_view route, const rollout_outcome& outcome,
                local_time now);

    /** All roll-outs, by service. */
    [[nodiscard]] std::vector<const rollout_record*> records() const;
    /** The roll-out with an id; null if it is not known. */
    [[nodiscard]] const rollout_record* find(const rollout_id& id) const;
    /** What heartbeats tell of the roll-outs, at most so many. */
    [[nodiscard]] std::vector<rollout_report> reports(std::size_t max_reports,
                                                      local_time now) const;
    /** A report of a roll-out. @param with_evidence it carries this VM's own evidence. */
    [[nodiscard]] std::optional<rollout_report> report_of(const rollout_id& id, bool with_evidence,
                                                          local_time now) const;
    /** Evidence of all VMs that have reported to this one, and its own. */
    [[nodiscard]] std::vector<route_evidence> evidence_of(const rollout_id& id,
                                                          local_time now) const;
    /** Requests that run at the old version, on the other VMs that have reported lately. */
    [[nodiscard]] std::uint64_t reported_stable_running(const rollout_id& id, local_time now) const;

private:
    /** Recent evidence is that of the last slots, including the current one. */
    static constexpr milliseconds slot_length{500};
    static constexpr std::size_t recent_slots = 6;

    struct own_route {
        rollout_evidence total;
        std::array<rollout_evidence, recent_slots> slots{};
        /** Number of the slot that was last written. */
        std::int64_t newest_slot = 0;
    };
    struct source_evidence {
        std::vector<route_evidence> routes;
        std::uint64_t stable_running = 0;
        local_time received_at;
    };
    struct followed : rollout_record {
        std::map<std::uint64_t, own_route> own;
        /** By the incarnation of the VM. */
        std::map<incarnation, source_evidence> others;
        /** Upstreams of these versions have stopped with the success of the order. */
        std::set<std::string, std::less<>> replaced_versions;
        /** Era of the store in which this VM has read the order last; empty if it never has. */
        std::optional<store_era> read_in;
    };
    struct known_version {
        local_time seen_at;
        /** It was there when this VM began to follow the service, or nobody has ordered it. */
        bool known = false;
        /** When an upstream with it was last in the registry. */
        local_time present_at{};
    };
    using version_map = std::map<std::string, known_version, std::less<>>;

    static void forget_version(version_map& known, local_time now);
    [[nodiscard]] static bool is_rewritten(const followed& known, const stored_rollout& stored,
                                           local_time now);
    void retire(const rollout_id& id);
    static void log_order(const followed& item, local_time now);
    followed& start(const rollout_order& order, local_time ordered_at, local_time now);
    void advance(followed& item, rollout_state state, local_time since, local_time now);
    [[nodiscard]] followed* find_followed(const rollout_id& id);
    [[nodiscard]] bool accepts(const rollout_report& report, local_time now) const;
    [[nodiscard]] bool is_known_version(const upstream_entry& item, local_time now) const;
    [[nodiscard]] std::vector<route_evidence> own_evidence(const followed& item,
                                                           local_time now) const;

    rollout_settings settings_;
    incarnation self_;
    /** By service. */
    std::map<std::string, followed, std::less<>> entries_;
    /** Orders that were replaced by later ones. */
    std::set<rollout_id> past_;
    /** The store's orders were listed. */
    bool listed_ = false;
    std::map<std::string, version_map, std::less<>> versions_;
};

/** Asks the board about the upstreams of one service at one moment, once for each version in a row:
 * a search for an upstream looks at all of them. */
class version_filter {
public:
    version_filter(const rollout_board& board, version_choice choice, local_time now)
        : board_(board), choice_(choice), now_(now)
    {
    }

    [[nodiscard]] bool admits(const upstream_entry& entry)
    {
        if (!board_.enabled()) {
            return true;
        }
        if (version_ == nullptr || *version_ != entry.version) {
            version_ = &entry.version;
            admitted_ = board_.admits(entry, choice_, now_);
        }
        return admitted_;
    }

private:
    const rollout_board& board_;
    version_choice choice_;
    local_time now_;
    /** The version that was asked for last, and the answer. */
    const std::string* version_ = nullptr;
    bool admitted_ = false;
};

} // namespace sniperock
