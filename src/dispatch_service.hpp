/** @file dispatch_service.hpp The decisions for one service: who gets which slot, and who waits. */
#pragma once

#include "dispatch_context.hpp"
#include "limit_state.hpp"
#include "permit_book.hpp"
#include "permit_type.hpp"
#include "policy_type.hpp"
#include "probe_schedule.hpp"
#include "queue_fair.hpp"
#include "random_type.hpp"
#include "server_state.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace sniperock {

/** A hint that is to go to one vm. */
struct outbound_hint {
    std::string vm;
    permit_hint hint;
};

/**
 * One service on one vm: the servers that it owns here, the calls that wait here, and what is
 * asked of other owners. Pure: time comes in, messages and answers go out through
 * dispatch_effects. Not safe for threads; the dispatcher holds a lock around each call.
 */
class service_schedule {
public:
    /**
     * @param service its name.
     * @param number tells tickets of different services apart; below 2^24.
     * @param shared must outlive this.
     * @throws unknown_plugin if there is no such policy.
     */
    service_schedule(std::string service, std::uint32_t number, dispatch_context& shared);

    /** @name Calls of this vm */
    /** @{ */
    /** @return the waiting call's ticket; 0 if it was answered at once. */
    call_ticket acquire(const call_spec& spec, grant_handler done, moment at,
                        dispatch_effects& effects);
    /** @return false if no such call waits. */
    bool cancel(call_ticket ticket, moment at, dispatch_effects& effects);
    void release(const grant& used, const call_report& report, moment at,
                 dispatch_effects& effects);
    /** @} */

    /** @name Messages of other vms */
    /** @{ */
    void on_request(const peer_identity& from, const permit_request& message, moment at,
                    dispatch_effects& effects);
    void on_reply(const peer_identity& from, const permit_reply& message, moment at,
                  dispatch_effects& effects);
    void on_release(const peer_identity& from, const permit_release& message, moment at,
                    dispatch_effects& effects);
    void on_hint(const peer_identity& from, const permit_hint& message, moment at,
                 dispatch_effects& effects);
    /** Permits of a process that is gone are given back soon. */
    void holder_gone(const peer_identity& holder, wall_time wall);
    /** @} */

    /** @name Ownership and configuration */
    /** @{ */
    void gain(const gained_server& gained, moment at, dispatch_effects& effects);
    /** @return empty if the server is not owned here. */
    std::optional<server_handover> give_up(const std::string& server, moment at,
                                           dispatch_effects& effects);
    /** Replaces owned servers by @p entries, which nobody owned before. */
    void set_owned(const std::vector<server_entry>& entries, moment at, dispatch_effects& effects);
    void set_view(std::shared_ptr<const ownership_view> view);
    /**
     * @param entry this service; null if it was removed.
     * @param allowed the allowances for this service.
     * @param out what is out of service.
     */
    void apply(const service_entry* entry, const std::vector<allowance>& allowed,
               const availability& out, moment at, dispatch_effects& effects);
    /** @} */

    /** @name Probes */
    /** @{ */
    /** Probes to send now, within this vm's part of the service's probe budget. */
    std::vector<probe_order> take_probes(moment at);
    /** @param report what the probe's answer said; empty if none came. */
    void on_probe(const std::string& server, const std::optional<load_report>& report, moment at,
                  dispatch_effects& effects);
    /** @} */

    /** Moves everything on that waits for time to pass. */
    void tick(moment at, dispatch_effects& effects);
    /** Hints to send, if something changed since the last call. */
    std::vector<outbound_hint> take_hints(moment at);
    /** False if tick() has nothing to wait for. */
    [[nodiscard]] bool needs_tick() const;
    [[nodiscard]] service_status status(wall_time wall) const;

private:
    /** A request that this vm sent to an owner. */
    struct permit_ask {
        std::string owner;
        std::uint64_t request = 0;
        /** The owner said that the call waits there. */
        bool queued = false;
        local_time check_at;
        std::uint32_t unanswered = 0;
    };
    /** A call that has no slot yet, of this vm or of another. */
    struct waiting_call {
        call_spec spec;
        grant_handler done;
        /** Asked by this vm, if set. */
        std::optional<request_key> guest;
        wall_time fence;
        local_time since;
        bool queued_here = false;
        std::vector<permit_ask> asks;
        std::set<std::string> asked;
        refusal last_refusal;
        /** An owner is too busy for it; other busy ones need not be asked. */
        bool refused_for_load = false;
    };
    /** What is known of another owner. */
    struct owner_sight {
        permit_hint hint;
        local_time heard{};
        local_time lost_at{};
        bool same_domain = false;
        std::set<std::string> servers;
    };
    enum class try_result { granted, no_slot, over_rate, over_concurrency };
    struct try_outcome {
        try_result result = try_result::no_slot;
        grant slot;
    };

    [[nodiscard]] server_state* find_server(const std::string& name) const;
    [[nodiscard]] plan_state* find_plan(const std::string& name);
    [[nodiscard]] bool lease_holds(moment at) const;
    [[nodiscard]] std::uint32_t usable(moment at) const;
    [[nodiscard]] std::uint32_t free_slots(moment at) const;
    [[nodiscard]] std::uint32_t part(const limit_parts& parts, std::uint32_t whole,
                                     wall_time wall) const;
    [[nodiscard]] std::optional<try_result> over_limit(plan_state& plan, moment at) const;
    /** Median of the other warm servers' latencies; 0 if there are none. */
    [[nodiscard]] nanoseconds peer_latency(const server_state& except);
    server_state* choose_server(const call_spec& spec, bool heed_avoid, moment at);

    [[nodiscard]] grant grant_of(const permit_record& record, const server_state& server) const;
    try_outcome try_slot(const waiting_call& call, moment at);
    std::optional<refusal> refuse_at_once(const call_spec& spec, moment at);
    void serve(moment at, dispatch_effects& effects);
    bool serve_one(moment at, dispatch_effects& effects);
    bool serve_head(const queued_call& head, moment at, dispatch_effects& effects);
    std::optional<refusal> enter_queue(call_ticket ticket, moment at, dispatch_effects& effects);
    [[nodiscard]] std::optional<refusal> too_late(const waiting_call& call, moment at);
    void route(call_ticket ticket, moment at, dispatch_effects& effects);
    std::string best_owner(const waiting_call& call, moment at);
    [[nodiscard]] bool has_part(const owner_sight& owner, const plan_state& plan) const;
    [[nodiscard]] bool has_part_here(const plan_state& plan) const;
    void ask(call_ticket ticket, const std::string& owner, moment at, dispatch_effects& effects);
    void send_request(const waiting_call& call, const permit_ask& item, dispatch_effects& effects);
    void withdraw(const waiting_call& call, const permit_ask& item, dispatch_effects& effects);
    void drop_asks(waiting_call& call, const std::string& except, dispatch_effects& effects);
    void check_asks(call_ticket ticket, moment at, dispatch_effects& effects);
    void settle(call_ticket ticket, grant_result result, moment at, dispatch_effects& effects);
    void refuse(call_ticket ticket, const refusal& why, moment at, dispatch_effects& effects);
    std::optional<refusal> admit_guest(waiting_call call, moment at, dispatch_effects& effects);
    void reply(const request_key& to, permit_answer answer, const grant* slot, const refusal* why,
               moment at, dispatch_effects& effects);
    void give_back(const permit_record& record, const call_report& report, moment at);
    void forget_plan_use(const std::string& plan);
    void forward_release(permit_release message, dispatch_effects& effects);
    void reconsider_limits(moment at);
    [[nodiscard]] permit_hint hint_now(moment at) const;
    void count_refusal(const refusal& why);
    void observe_wait(const waiting_call& call, local_time now);

    call_ticket draw_ticket();
    permit_id draw_permit();
    [[nodiscard]] bool hopeful(moment at) const;
    void leave_if_hopeless(moment at, dispatch_effects& effects);
    void apply_servers(const service_entry* entry, const availability& out, moment at);
    void apply_plans(const service_entry* entry, const std::vector<allowance>& allowed, moment at);
    void refuse_disallowed(moment at, dispatch_effects& effects);
    void withdraw_request(const request_key& key, wall_time fence, moment at);
    void take_free_slots(const std::string& owner, std::uint32_t free, moment at,
                         dispatch_effects& effects);
    [[nodiscard]] bool prefers(const owner_sight& owner, moment at) const;

    std::string service_;
    std::uint64_t ticket_base_;
    std::uint64_t next_ticket_ = 1;
    dispatch_context& shared_;
    std::unique_ptr<balance_policy> policy_;
    random_engine random_;
    bool configured_ = false;
    bool in_config_ = false;
    std::uint32_t probe_rate_ = 0;
    std::vector<std::unique_ptr<server_state>> servers_;
    std::unordered_map<std::string, plan_state> plans_;
    /** Until then the stricter of the old and the new parts hold. */
    std::optional<local_time> settled_at_;
    fair_queue queue_;
    std::set<std::string> blocked_;
    std::unordered_map<call_ticket, waiting_call> calls_;
    std::unordered_map<std::uint64_t, call_ticket> asks_;
    std::set<std::pair<local_time, call_ticket>> checks_;
    /** Permits of other owners that calls of this vm use. */
    std::unordered_set<permit_id> held_permits_;
    permit_book book_;
    /** Permits that went along in hand-overs and still count for their plan here. */
    permit_book handed_over_;
    slot_time held_;
    std::shared_ptr<const ownership_view> view_;
    std::map<std::string, owner_sight, std::less<>> owners_;
    std::map<std::string, std::string, std::less<>> server_domains_;
    std::map<std::string, local_time> interested_;
    permit_hint last_hint_;
    local_time hinted_at_{};
    service_counts counts_;
    /** Reused, so that a grant or a release allocates nothing for them. */
    std::vector<nanoseconds> latencies_;
    std::vector<server_sight> sights_;
    std::vector<server_state*> candidates_;
};

} // namespace sniperock
