/** @file member_gossip.cpp Exchanges heartbeats with other VMs over UDP. */
#include "member_gossip.hpp"

#include "error_type.hpp"
#include "event_type.hpp"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <msgpack.hpp>

#include <algorithm>
#include <cmath>
#include <ranges>

namespace sniperock {
namespace {

/** VMs that receive a heartbeat each period; three spread a change to 100 VMs in five periods. */
constexpr std::size_t fanout = 3;
/** Maximum number of VMs in a heartbeat whose entries it carries, or asks for, and of those that it
 * carries an update of; a heartbeat so fits a few packets. A VM receives six heartbeats a second:
 * the updates of 500 VMs, twice a second each. */
constexpr std::size_t max_new_entries = 10;
constexpr std::size_t max_wanted_entries = 60;
constexpr std::size_t max_updates = 160;
/** Maximum number of upstreams whose limits a heartbeat carries, some 30 bytes each. */
constexpr std::size_t max_limits = 40;
/** Maximum number of requests that end upstreams in a heartbeat, some 60 bytes each. */
constexpr std::size_t max_quarantine_reports = 20;
/** Maximum number of VMs whose reach a heartbeat carries, some 20 bytes each. */
constexpr std::size_t max_reach_reports = 100;
/** Maximum number of roll-outs that a heartbeat carries, some 100 bytes each. */
constexpr std::size_t max_rollout_reports = 10;
/** Version of the wire format; datagrams of other versions are dropped. */
constexpr unsigned format_version = 1;
/** With fewer VMs alive than this, heartbeats are also sent to the seeds each period. */
constexpr std::size_t seed_contact_threshold = 3;

using wire_entry = std::tuple<std::string, std::uint16_t, std::string, std::string, std::uint64_t,
                              std::uint64_t, std::uint8_t>;
/** Fields that every release sends; an earlier release sends and reads only these two. */
using wire_heartbeat = std::tuple<unsigned, std::vector<wire_entry>>;
/** Kinds of objects whose revisions every release sends; earlier releases accept no more. */
constexpr std::size_t first_kinds = 3;
using wire_revisions = std::array<std::uint64_t, first_kinds>;
/** Revision and era of a further kind. */
using wire_later_revision = std::tuple<std::uint64_t, std::uint64_t>;
/** Indices in the message array of the fields that earlier releases do not send. */
constexpr std::size_t revisions_index = 2;
constexpr std::size_t store_answers_index = 3;
constexpr std::size_t updates_index = 4;
constexpr std::size_t wanted_index = 5;
constexpr std::size_t eras_index = 6;
constexpr std::size_t limits_index = 7;
constexpr std::size_t view_index = 8;
constexpr std::size_t quarantine_index = 9;
constexpr std::size_t relay_index = 10;
constexpr std::size_t reach_index = 11;
constexpr std::size_t later_revisions_index = 12;
constexpr std::size_t rollouts_index = 13;
constexpr std::size_t quota_vms_index = 14;
constexpr std::size_t quota_asks_index = 15;
constexpr std::size_t quota_answers_index = 16;
constexpr std::size_t silent_index = 17;
/** Stands for a limit that has ended. */
constexpr double ended_limit = -1;
/** Id of the upstream, its limit (negative if it has ended), whether answers to probes and to
 * requests show it, age in ms. */
using wire_limit = std::tuple<std::string, double, bool, bool, std::uint32_t>;
/** Version of the configuration in force, era of the store, and ms since it was restored; nothing
 * if that was not lately. */
using wire_view = std::tuple<std::uint64_t, std::uint64_t, std::vector<std::uint32_t>>;
/** Time in ms; negative for what has not happened. */
using wire_age = std::int64_t;
/** Fingerprint of the request, processes that ended, age of the last end, failed trials, ages of
 * the last trial and of the last answer. */
using wire_quarantine = std::tuple<std::uint64_t, std::vector<std::uint64_t>, wire_age,
                                   std::uint32_t, wire_age, wire_age>;
/** Address of the VM, whether it is isolated, hashes of unreachable services, age of the report. */
using wire_reach = std::tuple<std::uint32_t, bool, std::vector<std::uint64_t>, wire_age>;
/** Service, target version and duration in ms of the order, its id and age, its state and the age
 * of that, the incarnation of the VM whose evidence follows (0 if there is none), requests at the
 * old version, and the evidence as a sequence of numbers, as earlier releases read no deeper
 * nesting. */
using wire_rollout =
    std::tuple<std::string, std::string, wire_age, std::uint64_t, wire_age, std::uint8_t, wire_age,
               std::uint64_t, std::uint64_t, std::vector<std::uint64_t>>;
/** Number of the ask, account, tokens asked for. */
using wire_quota_ask = std::tuple<std::uint64_t, std::uint64_t, std::uint32_t>;
/** Number of the ask, account, tokens granted, ms until the next one. */
using wire_quota_answer = std::tuple<std::uint64_t, std::uint64_t, std::uint32_t, std::uint32_t>;
/** Name of the VM, seconds since it was alive, whether it said that it would stop. */
using wire_silent = std::tuple<std::string, std::uint32_t, bool>;
/** Stands for the age of what has not happened. */
constexpr wire_age no_age = -1;
using wire_update = std::tuple<std::uint32_t, std::uint64_t, std::uint64_t, std::uint8_t>;

/** Limits on a decoded heartbeat, so that lengths in corrupt bytes do not cause allocations. */
const msgpack::unpack_limit unpack_limits{
    /* array */ 1024, /* map */ 0, /* string */ 1024,
    /* bin */ 0,      /* ext */ 0, /* depth */ 4};

/** An IPv4 address as a number; 0 if it is none. */
std::uint32_t to_number(const std::string& address)
{
    asio::error_code error;
    const auto parsed = asio::ip::make_address_v4(address, error);
    return error ? 0 : parsed.to_uint();
}

std::string to_address(std::uint32_t number)
{
    return asio::ip::make_address_v4(number).to_string();
}

bool is_state(std::uint8_t value)
{
    return value <= static_cast<std::uint8_t>(member_state::leaving);
}

/** An age on the wire; longer ones are as good as this one, and would not fit a time point. */
std::optional<milliseconds> to_age(wire_age age)
{
    constexpr wire_age max_age = 86'400'000;
    return age < 0 ? std::nullopt : std::optional{milliseconds{std::min(age, max_age)}};
}

wire_quarantine to_wire(const quarantine_report& report)
{
    std::vector<std::uint64_t> ended;
    std::ranges::transform(report.ended, std::back_inserter(ended), &upstream_process::value);
    const auto age_of = [](const std::optional<milliseconds>& age) {
        return age ? static_cast<wire_age>(age->count()) : no_age;
    };
    return {report.fingerprint.value, std::move(ended),         report.ended_ago.count(),
            report.failed_trials,     age_of(report.trial_ago), age_of(report.answered_ago)};
}

quarantine_report from_wire(const wire_quarantine& wire)
{
    const auto& [fingerprint, processes, ended_ago, failed_trials, trial_ago, answered_ago] = wire;
    std::vector<upstream_process> ended;
    std::ranges::transform(processes, std::back_inserter(ended),
                           [](std::uint64_t value) { return upstream_process{value}; });
    return {{fingerprint}, std::move(ended),  to_age(ended_ago).value_or(milliseconds{0}),
            failed_trials, to_age(trial_ago), to_age(answered_ago)};
}

/** Members of a tally, in their order on the wire. */
constexpr std::array tally_fields{&version_tally::ran,      &version_tally::failed,
                                  &version_tally::timed,    &version_tally::log_time,
                                  &version_tally::used_set, &version_tally::failed_set};
/** The tallies of a route, in their order on the wire. */
template <typename Evidence>
auto tallies_of(Evidence& evidence)
{
    return std::array{&evidence.recent.target, &evidence.recent.stable, &evidence.total.target,
                      &evidence.total.stable};
}
constexpr std::size_t tallies_per_route = 4;
constexpr std::size_t numbers_per_route = 1 + tallies_per_route * tally_fields.size();

wire_rollout to_wire(const rollout_report& report)
{
    std::vector<std::uint64_t> numbers;
    numbers.reserve(report.routes.size() * numbers_per_route);
    for (const auto& route : report.routes) {
        numbers.push_back(route.route);
        for (const auto* tally : tallies_of(route)) {
            for (const auto field : tally_fields) {
                numbers.push_back(tally->*field);
            }
        }
    }
    return {report.order.service,
            report.order.target_version,
            report.order.duration.count(),
            report.order.id.value,
            report.age.count(),
            static_cast<std::uint8_t>(report.state),
            report.state_age.count(),
            report.source.value_or(incarnation{}).value,
            report.stable_running,
            std::move(numbers)};
}

/** Empty if the state is one of a later release. */
std::optional<rollout_report> from_wire(const wire_rollout& wire)
{
    const auto& [service, version, duration, id, age, state, state_age, source, running, numbers] =
        wire;
    if (state > static_cast<std::uint8_t>(rollout_state::succeeded)) {
        return std::nullopt;
    }
    rollout_report report{{{id}, service, version, to_age(duration).value_or(milliseconds{0})},
                          to_age(age).value_or(milliseconds{0}),
                          static_cast<rollout_state>(state),
                          to_age(state_age).value_or(milliseconds{0})};
    if (source != 0) {
        report.source = incarnation{source};
    }
    report.stable_running = running;
    for (std::size_t at = 0; at + numbers_per_route <= numbers.size(); at += numbers_per_route) {
        auto& route = report.routes.emplace_back();
        auto next = numbers.begin() + static_cast<std::ptrdiff_t>(at);
        route.route = *next++;
        for (auto* tally : tallies_of(route)) {
            for (const auto field : tally_fields) {
                tally->*field = *next++;
            }
        }
    }
    return report;
}

/** Reads the fields about quotas. @throws msgpack::type_error */
void decode_quota_fields(const msgpack::object_array& fields, heartbeat& decoded)
{
    if (fields.size > quota_vms_index) {
        decoded.quota_vms = fields.ptr[quota_vms_index].as<std::uint32_t>();
    }
    if (fields.size > quota_asks_index) {
        for (const auto& [id, account, tokens] :
             fields.ptr[quota_asks_index].as<std::vector<wire_quota_ask>>()) {
            decoded.quota_asks.push_back({id, {account}, tokens});
        }
    }
    if (fields.size > quota_answers_index) {
        for (const auto& [id, account, tokens, next_in_ms] :
             fields.ptr[quota_answers_index].as<std::vector<wire_quota_answer>>()) {
            decoded.quota_answers.push_back({id, {account}, tokens, milliseconds{next_in_ms}});
        }
    }
    if (fields.size > silent_index) {
        for (const auto& [name, age_s, leaving] :
             fields.ptr[silent_index].as<std::vector<wire_silent>>()) {
            decoded.silent.push_back({name, seconds{age_s}, leaving});
        }
    }
}

/** Reads the fields that follow the sender's revisions. @throws msgpack::type_error */
void decode_later_fields(const msgpack::object_array& fields, heartbeat& decoded)
{
    if (fields.size > store_answers_index) {
        decoded.store_answers = fields.ptr[store_answers_index].as<bool>();
    }
    if (fields.size > updates_index) {
        for (const auto& [address, id, sequence, state] :
             fields.ptr[updates_index].as<std::vector<wire_update>>()) {
            if (is_state(state)) {
                decoded.updates.push_back(
                    {to_address(address), {id}, sequence, static_cast<member_state>(state)});
            }
        }
    }
    if (fields.size > eras_index) {
        const auto eras = fields.ptr[eras_index].as<wire_revisions>();
        for (std::size_t i = 0; i < eras.size(); ++i) {
            decoded.revisions.at(i).era = {eras.at(i)};
        }
    }
    if (fields.size > limits_index) {
        for (const auto& [id, per_s, in_probes, in_answers, age_ms] :
             fields.ptr[limits_index].as<std::vector<wire_limit>>()) {
            if (std::isfinite(per_s)) {
                decoded.limits.push_back({id, per_s < 0 ? std::nullopt : std::optional{per_s},
                                          in_probes, in_answers, milliseconds{age_ms}});
            }
        }
    }
    if (fields.size > view_index) {
        const auto [configuration, era, restored_ago_ms] = fields.ptr[view_index].as<wire_view>();
        decoded.view.configuration = {configuration};
        decoded.view.era = {era};
        if (!restored_ago_ms.empty()) {
            decoded.view.restored_ago = milliseconds{restored_ago_ms.front()};
        }
    }
    if (fields.size > quarantine_index) {
        const auto reports = fields.ptr[quarantine_index].as<std::vector<wire_quarantine>>();
        std::ranges::transform(reports, std::back_inserter(decoded.quarantine),
                               [](const wire_quarantine& wire) { return from_wire(wire); });
    }
    if (fields.size > relay_index) {
        decoded.relay_quarantine = fields.ptr[relay_index].as<bool>();
    }
    if (fields.size > reach_index) {
        for (const auto& [address, isolated, unreachable, age] :
             fields.ptr[reach_index].as<std::vector<wire_reach>>()) {
            decoded.reach.push_back({to_address(address), isolated, unreachable,
                                     to_age(age).value_or(milliseconds{0})});
        }
    }
    if (fields.size > later_revisions_index) {
        const auto later = fields.ptr[later_revisions_index].as<std::vector<wire_later_revision>>();
        for (std::size_t i = 0; i < later.size() && first_kinds + i < decoded.revisions.size();
             ++i) {
            const auto& [value, era] = later.at(i);
            decoded.revisions.at(first_kinds + i) = {value, {era}};
        }
    }
    if (fields.size > rollouts_index) {
        for (const auto& wire : fields.ptr[rollouts_index].as<std::vector<wire_rollout>>()) {
            if (auto report = from_wire(wire)) {
                decoded.rollouts.push_back(std::move(*report));
            }
        }
    }
    if (fields.size > wanted_index) {
        const auto wanted = fields.ptr[wanted_index].as<std::vector<std::uint32_t>>();
        std::ranges::transform(wanted, std::back_inserter(decoded.wanted), to_address);
    }
    decode_quota_fields(fields, decoded);
}

} // namespace

std::string encode_heartbeat(const heartbeat& message)
{
    std::vector<wire_entry> entries;
    std::ranges::transform(message.entries, std::back_inserter(entries),
                           [](const member_entry& entry) {
                               return wire_entry{entry.address,
                                                 entry.callers_port,
                                                 entry.name,
                                                 entry.failure_domain,
                                                 entry.incarnation_id.value,
                                                 entry.sequence,
                                                 static_cast<std::uint8_t>(entry.state)};
                           });
    wire_revisions revisions{};
    wire_revisions eras{};
    for (std::size_t i = 0; i < first_kinds; ++i) {
        revisions.at(i) = message.revisions.at(i).value;
        eras.at(i) = message.revisions.at(i).era.value;
    }
    std::vector<wire_later_revision> later_revisions;
    std::ranges::transform(message.revisions | std::views::drop(first_kinds),
                           std::back_inserter(later_revisions), [](const store_revision& revision) {
                               return wire_later_revision{revision.value, revision.era.value};
                           });
    msgpack::sbuffer buffer;
    std::vector<wire_update> updates;
    updates.reserve(message.updates.size());
    for (const auto& update : message.updates) {
        updates.emplace_back(to_number(update.address), update.incarnation_id.value,
                             update.sequence, static_cast<std::uint8_t>(update.state));
    }
    std::vector<wire_limit> limits;
    std::ranges::transform(
        message.limits, std::back_inserter(limits), [](const limit_report& report) {
            return wire_limit{report.upstream_id, report.per_s.value_or(ended_limit),
                              report.in_probes, report.in_answers,
                              static_cast<std::uint32_t>(report.age.count())};
        });
    wire_view view{message.view.configuration.value, message.view.era.value, {}};
    if (message.view.restored_ago) {
        std::get<2>(view).push_back(static_cast<std::uint32_t>(message.view.restored_ago->count()));
    }
    std::vector<std::uint32_t> wanted;
    std::ranges::transform(message.wanted, std::back_inserter(wanted), to_number);
    std::vector<wire_reach> reach;
    std::ranges::transform(message.reach, std::back_inserter(reach),
                           [](const reach_report& report) {
                               return wire_reach{to_number(report.address), report.isolated,
                                                 report.unreachable, report.age.count()};
                           });
    std::vector<wire_quarantine> quarantine;
    std::ranges::transform(message.quarantine, std::back_inserter(quarantine),
                           [](const quarantine_report& report) { return to_wire(report); });
    std::vector<wire_rollout> rollouts;
    std::ranges::transform(message.rollouts, std::back_inserter(rollouts),
                           [](const rollout_report& report) { return to_wire(report); });
    std::vector<wire_quota_ask> asks;
    asks.reserve(message.quota_asks.size());
    for (const auto& ask : message.quota_asks) {
        asks.emplace_back(ask.id, ask.account.value, ask.tokens);
    }
    std::vector<wire_quota_answer> answers;
    answers.reserve(message.quota_answers.size());
    for (const auto& answer : message.quota_answers) {
        answers.emplace_back(answer.id, answer.account.value, answer.tokens,
                             static_cast<std::uint32_t>(answer.next_in.count()));
    }
    std::vector<wire_silent> silent;
    silent.reserve(message.silent.size());
    for (const auto& item : message.silent) {
        silent.emplace_back(item.name, static_cast<std::uint32_t>(item.age.count()), item.leaving);
    }
    msgpack::pack(buffer, std::tuple{format_version, entries, revisions, message.store_answers,
                                     updates, wanted, eras, limits, view, quarantine,
                                     message.relay_quarantine, reach, later_revisions, rollouts,
                                     message.quota_vms, asks, answers, silent});
    return {buffer.data(), buffer.size()};
}

std::optional<heartbeat> decode_heartbeat(std::string_view bytes)
{
    try {
        const auto handle =
            msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, unpack_limits);
        const auto& message = handle.get();
        const auto [version, wire] = message.as<wire_heartbeat>();
        if (version != format_version) {
            return std::nullopt;
        }
        heartbeat decoded;
        for (const auto& [address, port, name, domain, incarnation_id, sequence, state] : wire) {
            if (!is_state(state)) {
                return std::nullopt;
            }
            if (to_number(address) == 0) {
                // It would be named in the directory; the other entries hold.
                continue;
            }
            decoded.entries.push_back({address,
                                       port,
                                       name,
                                       domain,
                                       {incarnation_id},
                                       sequence,
                                       static_cast<member_state>(state)});
        }
        if (message.via.array.size > revisions_index) {
            const auto revisions = message.via.array.ptr[revisions_index].as<wire_revisions>();
            std::ranges::transform(revisions, decoded.revisions.begin(),
                                   [](std::uint64_t value) { return store_revision{value}; });
        }
        decode_later_fields(message.via.array, decoded);
        return decoded;
    }
    catch (const std::exception&) {
        // msgpack throws several exception types for malformed bytes; the caller logs the drop.
        return std::nullopt;
    }
}

member_gossip::member_gossip(asio::io_context& io, member_table& table,
                             store_revision_tracker& revisions, milliseconds period,
                             random_engine& random, gossip_callbacks callbacks)
    : table_(table), revisions_(revisions), period_(period), random_(random),
      callbacks_(std::move(callbacks)), socket_(io)
{
}

heartbeat member_gossip::make_heartbeat(std::vector<member_entry> entries) const
{
    heartbeat message{std::move(entries), revisions_.local_revisions(), callbacks_.store_answers()};
    message.view = callbacks_.view();
    message.reach = callbacks_.reach(max_reach_reports);
    message.quota_vms = callbacks_.quota_vms();
    return message;
}

heartbeat member_gossip::make_carrier() const
{
    heartbeat message{table_.entries_of({}), revisions_.local_revisions(),
                      callbacks_.store_answers()};
    message.view = callbacks_.view();
    message.quota_vms = callbacks_.quota_vms();
    return message;
}

std::string member_gossip::encode_known(local_time now) const
{
    auto message = make_heartbeat(table_.new_entries(max_new_entries, now));
    message.updates = table_.updates(max_updates, random_, now);
    message.limits = callbacks_.limits(max_limits);
    message.quarantine = callbacks_.quarantine(max_quarantine_reports);
    message.rollouts = callbacks_.rollouts(max_rollout_reports);
    return encode_heartbeat(message);
}

void member_gossip::open(const std::string& address, std::uint16_t port)
{
    try {
        const asio::ip::udp::endpoint endpoint(asio::ip::make_address(address), port);
        socket_.open(endpoint.protocol());
        socket_.bind(endpoint);
        socket_.non_blocking(true);
        port_ = socket_.local_endpoint().port();
    }
    catch (const std::system_error& fault) {
        asio::error_code ignored;
        socket_.close(ignored);
        throw listen_failed(address + ":" + std::to_string(port) + "/udp", fault.code());
    }
}

void member_gossip::send_heartbeat_to(const std::string& address)
{
    if (address != table_.self().address) {
        encoded_ = encode_known(boot_clock::now());
        send_encoded(address);
    }
}

void member_gossip::broadcast_self()
{
    const auto now = boot_clock::now();
    table_.advance_heartbeat();
    encoded_ = encode_heartbeat(make_heartbeat(table_.new_entries(0, now)));
    for (const auto& member : table_.alive(now)) {
        if (member.address != table_.self().address) {
            send_encoded(member.address);
        }
    }
}

void member_gossip::send_quarantine(const quarantine_message& message,
                                    const std::vector<std::string>& to)
{
    auto carrier = make_heartbeat(table_.entries_of({}));
    carrier.quarantine = {message.report};
    carrier.relay_quarantine = message.relay;
    encoded_ = encode_heartbeat(carrier);
    std::ranges::for_each(to, [this](const auto& address) { send_encoded(address); });
}

void member_gossip::send_rollout(const rollout_report& report, const std::vector<std::string>& to)
{
    auto carrier = make_heartbeat(table_.entries_of({}));
    carrier.rollouts = {report};
    encoded_ = encode_heartbeat(carrier);
    std::ranges::for_each(to, [this](const auto& address) { send_encoded(address); });
}

void member_gossip::send_quota_ask(const quota_ask& ask, const std::string& to)
{
    auto carrier = make_carrier();
    carrier.quota_asks = {ask};
    encoded_ = encode_heartbeat(carrier);
    send_encoded(to);
}

void member_gossip::send_quota_answer(const quota_answer& answer, const std::string& to)
{
    auto carrier = make_carrier();
    carrier.quota_answers = {answer};
    encoded_ = encode_heartbeat(carrier);
    send_encoded(to);
}

/** Sends the encoded heartbeat; a datagram that cannot be sent is treated as lost. */
void member_gossip::send_encoded(const std::string& address)
{
    asio::error_code error;
    const auto target = asio::ip::make_address(address, error);
    if (!error) {
        socket_.send_to(asio::buffer(encoded_), {target, port_}, 0, error);
    }
    if (error && error != asio::error::would_block) {
        log_event(event::heartbeat_dropped, {{"peer", address}, {"reason", error.message()}});
    }
}

task<> member_gossip::send_heartbeats()
{
    for (;;) {
        const auto now = boot_clock::now();
        table_.advance_heartbeat();
        encoded_ = encode_known(now);
        for (const auto& address : table_.pick_targets(fanout, random_, now)) {
            send_encoded(address);
        }
        if (table_.alive(now).size() < seed_contact_threshold) {
            for (const auto& seed : seeds_) {
                if (seed != table_.self().address) {
                    send_encoded(seed);
                }
            }
        }
        std::uniform_real_distribution<double> jitter{0.8, 1.2};
        co_await sleep_for(
            std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double, std::milli>(
                static_cast<double>(period_.count()) * jitter(random_))));
    }
}

task<> member_gossip::receive_heartbeats()
{
    std::vector<char> buffer(max_datagram);
    for (;;) {
        asio::error_code error;
        co_await socket_.async_wait(asio::ip::udp::socket::wait_read,
                                    asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        asio::ip::udp::endpoint from;
        const auto size = socket_.receive_from(asio::buffer(buffer), from, 0, error);
        if (error) {
            continue;
        }
        const auto received = decode_heartbeat({buffer.data(), size});
        if (!received || received->entries.empty()) {
            log_event(event::heartbeat_dropped,
                      {{"peer", from.address().to_string()}, {"reason", "malformed"}});
            continue;
        }
        handle_heartbeat(*received, from.address().to_string());
    }
}

void member_gossip::handle_heartbeat(const heartbeat& received, const std::string& sender)
{
    const auto now = boot_clock::now();
    revisions_.record_remote(received.revisions, now);
    std::ranges::for_each(received.limits, callbacks_.on_limit);
    callbacks_.on_view(received.view);
    std::ranges::for_each(received.reach, callbacks_.on_reach);
    std::ranges::for_each(received.rollouts, callbacks_.on_rollout);
    for (const auto& report : received.quarantine) {
        callbacks_.on_quarantine({report, received.relay_quarantine}, sender);
    }
    if (!received.store_answers) {
        callbacks_.on_store_outage();
    }
    handle_quotas(received, sender);
    const bool has_new_member = table_.merge(received.entries, now);
    auto unknown = table_.merge_updates(received.updates, now);
    if (!unknown.empty()) {
        unknown.resize(std::min(unknown.size(), max_wanted_entries));
        auto request = make_heartbeat(table_.entries_of({}));
        request.wanted = std::move(unknown);
        encoded_ = encode_heartbeat(request);
        send_encoded(sender);
    }
    if (!received.wanted.empty()) {
        encoded_ = encode_heartbeat(make_heartbeat(table_.entries_of(received.wanted)));
        send_encoded(sender);
    }
    if (has_new_member) {
        // A new VM learns the fleet without waiting for the next period.
        send_heartbeat_to(sender);
    }
}

void member_gossip::handle_quotas(const heartbeat& received, const std::string& sender)
{
    callbacks_.on_silent(received.silent);
    if (auto unknown = callbacks_.on_quota_vms(received.quota_vms); !unknown.empty()) {
        auto carrier = make_carrier();
        carrier.silent = std::move(unknown);
        encoded_ = encode_heartbeat(carrier);
        send_encoded(sender);
    }
    for (const auto& ask : received.quota_asks) {
        callbacks_.on_quota_ask(ask, sender);
    }
    for (const auto& answer : received.quota_answers) {
        callbacks_.on_quota_answer(answer, sender);
    }
}

} // namespace sniperock
