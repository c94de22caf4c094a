/** @file epoch_machine.cpp The transitions of the ownership protocol. */
#include "epoch_machine.hpp"

#include <algorithm>
#include <ranges>
#include <utility>

namespace sniperock {
namespace {

/** Longest pause between two reads of a store that does not answer. */
constexpr milliseconds longest_read_pause{2000};
/** Time after which a proposer tries again. */
constexpr milliseconds proposal_pause{500};
/** Suspicion times that a vm outside the epoch waits for its members before it proposes. */
constexpr int outsider_patience = 3;
constexpr std::size_t kept_questions = 64;

constexpr local_time never{};

} // namespace

epoch_machine::epoch_machine(epoch_settings settings, epoch_member self, std::uint64_t seed,
                             local_time now)
    : settings_(settings), self_(std::move(self)), random_(seed), members_(settings_, self_, now),
      adopted_(std::make_shared<const epoch_object>()), adopted_at_(now), lease_until_(never),
      next_heartbeat_(now), store_call_sent_(now), next_read_(now), read_pause_(settings_.term / 3),
      next_proposal_(now)
{
}

bool epoch_machine::is_member() const
{
    return has_member(adopted_->current, self_.identity());
}

void epoch_machine::set_revision(config_revision in_force, config_revision assigned)
{
    revision_ = in_force;
    assigned_ = assigned;
}

void epoch_machine::leave()
{
    leaving_ = true;
    next_heartbeat_ = never;
}

epoch_actions epoch_machine::tick(local_time now)
{
    epoch_actions out;
    members_.notice_time(now);
    watch_for_superseded(out);
    fence(now, out);
    if (now >= next_heartbeat_) {
        send_heartbeats(now, out);
        next_heartbeat_ = now + settings_.heartbeat;
    }
    confirm(now, out);
    read_if_unconfirmed(now, out);
    propose(now, out);
    return out;
}

epoch_actions epoch_machine::on_heartbeat(const peer_identity& from, const heartbeat& message,
                                          local_time now)
{
    epoch_actions out;
    if (!members_.hear(from, message, now)) {
        watch_for_superseded(out);
        return out;
    }
    ++counts_.heartbeats_received;
    if (message.newer) {
        adopt(*message.newer, now, out);
    }
    take_answer(from.vm, message);
    auto* view = members_.find(from.vm);
    const bool behind = view->question_epoch < adopted_->current.number;
    const bool told = view->epoch_sent && now - *view->epoch_sent < settings_.heartbeat;
    if (behind && !told) {
        view->epoch_sent = now;
        auto reply = make_heartbeat(from.vm, now);
        reply.newer = *adopted_;
        out.emplace_back(send_heartbeat{from.vm, std::move(reply)});
        ++counts_.heartbeats_sent;
    }
    fence(now, out);
    confirm(now, out);
    return out;
}

void epoch_machine::take_answer(const std::string& vm, const heartbeat& message)
{
    const bool mine = message.answered_life == self_.life && message.vouched &&
                      message.epoch == adopted_->current.number;
    const auto question =
        std::ranges::find(questions_, message.answered_question, &sent_question::number);
    if (!mine || question == questions_.end() || question->epoch != message.epoch) {
        return;
    }
    auto* view = members_.find(vm);
    const bool later = view->vouched_epoch != message.epoch || !view->vouched_sent ||
                       *view->vouched_sent < question->sent;
    if (later) {
        view->vouched_sent = question->sent;
        view->vouched_epoch = message.epoch;
    }
}

bool epoch_machine::vouch(const std::string& vm, const member_view& asker) const
{
    return asker.question_epoch == adopted_->current.number && is_member() &&
           has_member(adopted_->current, {vm, asker.life});
}

void epoch_machine::confirm(local_time now, epoch_actions& out)
{
    if (!is_member() || superseded_) {
        return;
    }
    std::vector<local_time> asked{now};
    for (const auto& member : adopted_->current.members) {
        const auto* view = members_.find(member.identity());
        const bool vouched = view != nullptr && view->vouched_sent &&
                             view->vouched_epoch == adopted_->current.number;
        if (vouched) {
            asked.push_back(*view->vouched_sent);
        }
    }
    const auto needed = majority_of(adopted_->current);
    if (asked.size() < needed) {
        return;
    }
    std::ranges::sort(asked, std::ranges::greater{});
    if (asked[needed - 1] + settings_.term > lease_until_) {
        ++counts_.vouched_confirmations;
    }
    extend_lease(asked[needed - 1] + settings_.term, out);
}

void epoch_machine::extend_lease(local_time until, epoch_actions& out)
{
    if (until > lease_until_) {
        lease_until_ = until;
        out.emplace_back(lease_changed{until});
    }
}

void epoch_machine::watch_for_superseded(epoch_actions& out)
{
    if (superseded_ || members_.newest_of_self() <= self_.life) {
        return;
    }
    superseded_ = true;
    lease_until_ = never;
    out.emplace_back(lease_changed{never});
    out.emplace_back(superseded{members_.newest_of_self()});
}

void epoch_machine::adopt(const epoch_object& object, local_time now, epoch_actions& out)
{
    if (object.current.number <= adopted_->current.number) {
        return;
    }
    members_.epoch_changed(adopted_->current, object.current, now);
    std::map<epoch_number, fence_state> fences;
    for (const auto& earlier : object.unfenced) {
        const auto known = fences_.find(earlier.number);
        fences[earlier.number] =
            known == fences_.end() ? fence_state{earlier, {}, false} : known->second;
    }
    fences_ = std::move(fences);
    adopted_ = std::make_shared<const epoch_object>(object);
    adopted_at_ = now;
    members_.notice_self(object.current);
    change_noticed_.reset();
    next_heartbeat_ = now;
    ++counts_.adoptions;
    if (!is_member() && lease_until_ > now) {
        lease_until_ = never;
        out.emplace_back(lease_changed{never});
    }
    out.emplace_back(epoch_adopted{adopted_});
    fence(now, out);
}

bool epoch_machine::has_moved_on(const epoch_member& member, epoch_number number,
                                 local_time now) const
{
    if (member.identity() == self_.identity()) {
        return adopted_->current.number > number;
    }
    const auto* view = members_.find(member.identity());
    return (view != nullptr && view->adopted > number) || members_.is_gone(member.identity(), now);
}

void epoch_machine::fence(local_time now, epoch_actions& out)
{
    const auto wait = fence_wait(settings_);
    for (auto& [number, state] : fences_) {
        if (state.done) {
            continue;
        }
        const auto moved = std::ranges::count_if(state.epoch.members, [&](const auto& member) {
            return has_moved_on(member, number, now);
        });
        if (!state.majority_seen && static_cast<std::size_t>(moved) >= majority_of(state.epoch)) {
            state.majority_seen = now;
        }
        state.done = state.majority_seen && now > *state.majority_seen + wait;
        if (state.done) {
            out.emplace_back(epoch_fenced{number});
        }
    }
}

bool epoch_machine::is_fenced(epoch_number number) const
{
    const auto found = fences_.find(number);
    return found == fences_.end() ? number < adopted_->current.number : found->second.done;
}

std::optional<local_time> epoch_machine::moved_on(const peer_identity& who,
                                                  epoch_number number) const
{
    const auto* view = members_.find(who);
    if (view == nullptr || view->adopted <= number) {
        return std::nullopt;
    }
    return view->adopted_seen;
}

bool epoch_machine::take(const std::vector<peer_identity>& owners, epoch_number settled_below) const
{
    const auto& unfenced = adopted_->unfenced;
    for (std::size_t at = 0; at < unfenced.size(); ++at) {
        const auto number = unfenced[at].number;
        const bool settled = number < settled_below || is_fenced(number) ||
                             owners.at(at).vm.empty() || owners.at(at) == self_.identity() ||
                             moved_on(owners.at(at), number).has_value();
        if (!settled) {
            return false;
        }
    }
    return is_member() && !superseded_;
}

bool epoch_machine::holds_our_assignment(const peer_identity& who, bool in_epoch) const
{
    const auto* view = members_.find(who);
    if (view == nullptr) {
        return false;
    }
    if (!in_epoch && view->adopted >= adopted_->current.number) {
        return true;
    }
    const bool same = view->revision >= assigned_ && view->assigned <= revision_;
    const bool always_beside = std::ranges::all_of(adopted_->unfenced, [&](const auto& earlier) {
        return !has_member(earlier, who) || is_fenced(earlier.number) ||
               has_member(earlier, self_.identity());
    });
    return same && (always_beside || view->adopted >= adopted_->current.number);
}

bool epoch_machine::assignment_agreed() const
{
    const auto agrees = [this](bool in_epoch) {
        return [this, in_epoch](const epoch_member& member) {
            return member.identity() == self_.identity() ||
                   (!in_epoch && has_member(adopted_->current, member.identity())) ||
                   holds_our_assignment(member.identity(), in_epoch);
        };
    };
    return std::ranges::all_of(adopted_->current.members, agrees(true)) &&
           std::ranges::all_of(adopted_->unfenced, [&](const epoch_membership& earlier) {
               return is_fenced(earlier.number) ||
                      std::ranges::all_of(earlier.members, agrees(false));
           });
}

void epoch_machine::on_adopted_elsewhere(const peer_identity& from, epoch_number number,
                                         local_time now)
{
    auto* view = members_.find(from.vm);
    if (view != nullptr && view->life == from.life && view->adopted < number) {
        view->adopted = number;
        view->adopted_seen = now;
    }
}

void epoch_machine::on_vm_list(const std::vector<vm_record>& records, local_time now)
{
    members_.list(records, now);
}

heartbeat epoch_machine::make_heartbeat(const std::string& vm, local_time now) const
{
    heartbeat message;
    message.question = questions_.empty() ? 0 : questions_.back().number;
    message.epoch = adopted_->current.number;
    message.revision = revision_;
    message.assigned = assigned_;
    message.leaving = leaving_;
    message.silent = members_.silent_members(adopted_->current, now);
    message.failure_domain = self_.failure_domain;
    message.peer_endpoint = self_.peer_endpoint;
    if (const auto* view = members_.find(vm)) {
        message.answered_question = view->question;
        message.answered_life = view->life;
        message.vouched = vouch(vm, *view);
    }
    return message;
}

void epoch_machine::send_heartbeats(local_time now, epoch_actions& out)
{
    questions_.push_back({next_question_++, now, adopted_->current.number});
    if (questions_.size() > kept_questions) {
        questions_.pop_front();
    }
    for (const auto& peer : members_.peers(adopted_->current)) {
        out.emplace_back(send_heartbeat{peer.vm, make_heartbeat(peer.vm, now)});
        ++counts_.heartbeats_sent;
    }
}

nanoseconds epoch_machine::jitter(nanoseconds most)
{
    std::uniform_int_distribution<std::int64_t> spread(0, most.count());
    return nanoseconds{spread(random_)};
}

void epoch_machine::read_store(local_time now, epoch_actions& out)
{
    if (store_call_ != store_call::none || now < next_read_) {
        return;
    }
    store_call_ = store_call::read;
    store_call_sent_ = now;
    next_read_ = now + read_pause_ / 2 + jitter(read_pause_);
    ++counts_.store_reads;
    out.emplace_back(read_epoch{});
}

void epoch_machine::read_if_unconfirmed(local_time now, epoch_actions& out)
{
    const bool running_out = lease_until_ < now + settings_.term / 2;
    const bool wanted = adopted_->current.number.value == 0 || (is_member() && running_out);
    if (wanted && !superseded_) {
        read_store(now, out);
    }
}

epoch_actions epoch_machine::on_store_read(const epoch_read& result, local_time now)
{
    epoch_actions out;
    store_call_ = store_call::none;
    if (!result.answered) {
        read_pause_ = std::min<nanoseconds>(2 * read_pause_, longest_read_pause);
        return out;
    }
    read_pause_ = settings_.term / 3;
    stored_ = stored_epoch{result.version, {}, store_call_sent_};
    if (!result.object) {
        return out;
    }
    const auto& object = *result.object;
    stored_->number = object.current.number;
    if (written_.change_id != 0 && object.change_id == std::exchange(written_.change_id, 0)) {
        ++counts_.proposals_won;
    }
    adopt(object, now, out);
    const bool newest = object.current.number == adopted_->current.number &&
                        object.change_id == adopted_->change_id;
    if (newest && is_member() && !superseded_) {
        ++counts_.store_confirmations;
        extend_lease(store_call_sent_ + settings_.term, out);
    }
    return out;
}

epoch_actions epoch_machine::on_store_watch(const epoch_object& object, object_version version,
                                            local_time now)
{
    epoch_actions out;
    if (!stored_ || version > stored_->version) {
        stored_ = stored_epoch{version, object.current.number, {}};
    }
    adopt(object, now, out);
    return out;
}

bool epoch_machine::leaves_nobody(local_time now) const
{
    return leaving_ && members_.wanted(adopted_->current, true, now).members.empty();
}

std::vector<epoch_membership> epoch_machine::prune(const std::vector<epoch_member>& next) const
{
    std::vector<epoch_membership> unfenced;
    std::ranges::copy_if(adopted_->unfenced, std::back_inserter(unfenced),
                         [this](const auto& earlier) { return !is_fenced(earlier.number); });
    const bool same = same_membership(adopted_->current, {{}, next, settings_.spread});
    if (!same && adopted_->current.number.value > 0) {
        unfenced.push_back(adopted_->current);
    }
    return unfenced;
}

void epoch_machine::propose(local_time now, epoch_actions& out)
{
    const auto& epoch = adopted_->current;
    const auto wanted = members_.wanted(epoch, leaving_, now);
    const bool changed =
        !same_membership(epoch, {{}, wanted.members, settings_.spread}) && !wanted.members.empty();
    const bool stale = std::ranges::any_of(
        adopted_->unfenced, [this](const auto& earlier) { return is_fenced(earlier.number); });
    const bool prune_due = stale && now > adopted_at_ + settings_.prune_after;
    if ((!changed && !prune_due) || superseded_) {
        change_noticed_.reset();
        return;
    }
    if (!change_noticed_) {
        change_noticed_ = now;
        proposal_jitter_ = jitter(settings_.rank_step / 2);
    }
    const auto rank = members_.rank(epoch, now);
    const bool outsider = epoch.number.value > 0 && !is_member() && rank > 0;
    auto patience = proposal_jitter_ + static_cast<std::int64_t>(rank) * settings_.rank_step;
    patience += wanted.urgent && epoch.number.value > 0 ? nanoseconds{0} : settings_.join_window;
    patience += outsider ? outsider_patience * settings_.suspicion : nanoseconds{0};
    if (now < *change_noticed_ + patience || now < next_proposal_ ||
        store_call_ != store_call::none) {
        return;
    }
    // A store that went back to an older copy is written over; a mere lag of ours is not.
    const bool store_known = stored_ && (stored_->number == epoch.number ||
                                         (stored_->read && *stored_->read > adopted_at_));
    if (!store_known) {
        read_store(now, out);
        return;
    }
    const auto& next = changed ? wanted.members : epoch.members;
    write_epoch write;
    write.object.current = {{epoch.number.value + 1}, next, settings_.spread};
    write.object.unfenced = prune(next);
    write.object.change_id = random_();
    write.expected = stored_->version;
    written_ = write.object;
    store_call_ = store_call::write;
    store_call_sent_ = now;
    next_proposal_ = now + proposal_pause + jitter(proposal_pause);
    ++counts_.proposals;
    out.emplace_back(std::move(write));
}

epoch_actions epoch_machine::on_store_write(const put_result& result, local_time now)
{
    epoch_actions out;
    store_call_ = store_call::none;
    if (result.status == put_status::accepted) {
        ++counts_.proposals_won;
        stored_ = stored_epoch{result.version, written_.current.number, {}};
        adopt(written_, now, out);
        return out;
    }
    // A conflict or a lost reply: reading back shows which epoch holds.
    stored_.reset();
    if (result.status != put_status::unavailable) {
        next_read_ = now;
        read_store(now, out);
    }
    return out;
}

std::vector<std::string> check_epoch_settings(const epoch_settings& settings)
{
    constexpr int least_heartbeats = 3;
    std::vector<std::string> faults;
    if (settings.suspicion < least_heartbeats * settings.heartbeat) {
        faults.emplace_back("suspicion must be at least three heartbeats");
    }
    if (settings.term < least_heartbeats * settings.heartbeat) {
        faults.emplace_back("term must be at least three heartbeats");
    }
    return faults;
}

bool has_member(const epoch_membership& epoch, const peer_identity& who)
{
    return std::ranges::any_of(epoch.members, [&](const epoch_member& member) {
        return member.vm == who.vm && member.life == who.life;
    });
}

std::size_t majority_of(const epoch_membership& epoch)
{
    return epoch.members.size() / 2 + 1;
}

bool same_membership(const epoch_membership& left, const epoch_membership& right)
{
    return left.members == right.members && left.spread == right.spread;
}

} // namespace sniperock
