/** @file entry_config.cpp Configuration and administration of one entry vm. */
#include "entry_config.hpp"
#include "admin_api.hpp"
#include "admin_json.hpp"
#include "config_exchange.hpp"
#include "config_repository.hpp"
#include "event_type.hpp"
#include "store_budgeted.hpp"
#include "store_client.hpp"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <future>
#include <thread>

namespace sniperock {
namespace {

constexpr milliseconds tick_period{100};
constexpr milliseconds role_period{100};
constexpr milliseconds record_period{100};
constexpr milliseconds report_period{2};
/** Time after which a change of availability goes on without the store. */
constexpr milliseconds patience{1'000};
/** Time that an unrecorded change has to reach the other vms before it is answered. */
constexpr milliseconds spread_time{1'000};
/** Parts that a vm which has nothing may read from the store at once. */
constexpr std::size_t few_parts = 64;
/** Time that other vms have to bring a whole configuration before it is read from the store. */
constexpr milliseconds peer_head_start{2'000};
constexpr std::size_t max_queued_messages = 4'096;

using store_of_vm = budgeted_store<store_client, system_clock_source>;
using repository = config_repository<store_of_vm, system_clock_source>;
using exchange = config_exchange<peer_link, system_clock_source>;

} // namespace

/** The parts, the threads that run them, and the queue of messages. */
struct entry_config::impl {
    impl(const entry_settings& with, peer_link& through, metrics& measured)
        : settings(with), link(through), budget({static_cast<double>(settings.store_rate),
                                                 static_cast<double>(settings.store_burst)},
                                                clock.now(), measured),
          follow_client(settings.store_address, static_cast<int>(settings.store_port),
                        settings.store_timeout),
          admin_client(settings.store_address, static_cast<int>(settings.store_port),
                       settings.store_timeout),
          follow_store(follow_client, budget, clock, store_priority::configuration, sleeper()),
          admin_store(admin_client, budget, clock, store_priority::configuration, sleeper()),
          followed(follow_store, clock, random_seed(), sleeper()),
          administered(admin_store, clock, random_seed(), sleeper()),
          spreading(settings.vm_name, link, clock, keeper), random(random_seed()),
          revision_gauge(measured.gauge("sniperock_config_revision", "Revision in force")),
          unrecorded_gauge(measured.gauge("sniperock_config_unrecorded",
                                          "Changes in force that the store has not recorded")),
          api(make_backend(), settings.admin_first_key_hash)
    {
        for (const auto kind : {peer_message_kind::config_offer, peer_message_kind::config_request,
                                peer_message_kind::config_parts}) {
            link.subscribe(kind, [this](const peer_message& message) { enqueue(message); });
        }
        keeper.subscribe([this](const auto& snapshot) {
            revision_gauge.Set(static_cast<double>(snapshot->revision.value));
            unrecorded_gauge.Set(static_cast<double>(snapshot->unrecorded));
        });
    }

    /** Sleeps until stop() at the latest. */
    std::function<void(nanoseconds)> sleeper()
    {
        return [this](nanoseconds time) { pause(time); };
    }

    /** Sleeps for @p time. @return false if the process is stopping. */
    bool pause(nanoseconds time)
    {
        std::unique_lock lock(mutex);
        return !wake.wait_for(lock, time, [this] { return stopping; });
    }

    bool is_stopping()
    {
        const std::lock_guard lock(mutex);
        return stopping;
    }

    void start()
    {
        threads.emplace_back([this] { handle_messages(); });
        threads.emplace_back([this] { follow(); });
        threads.emplace_back([this] { record_changes(); });
    }

    void stop()
    {
        {
            const std::lock_guard lock(mutex);
            stopping = true;
        }
        wake.notify_all();
        follow_client.cancel_watch();
        std::ranges::for_each(threads, [](std::thread& thread) { thread.join(); });
        threads.clear();
        const std::lock_guard lock(jobs_mutex);
        jobs.clear();
    }

    /** Called on the link's thread: only queues. */
    void enqueue(const peer_message& message)
    {
        {
            const std::lock_guard lock(mutex);
            if (messages.size() >= max_queued_messages) {
                return;
            }
            messages.push_back(message);
        }
        wake.notify_all();
    }

    void handle_messages()
    {
        while (true) {
            std::deque<peer_message> batch;
            {
                std::unique_lock lock(mutex);
                wake.wait_for(lock, tick_period, [&] { return stopping || !messages.empty(); });
                if (stopping) {
                    return;
                }
                batch.swap(messages);
            }
            std::ranges::for_each(batch,
                                  [&](const peer_message& message) { spreading.handle(message); });
            spreading.tick();
        }
    }

    /** True if this vm is one of the few that watch the head. */
    bool is_watcher() const
    {
        return spreading.store_rank("watch/" + settings.cell) <
               static_cast<std::size_t>(settings.config_watchers);
    }

    void follow()
    {
        object_version version = 0;
        store_backoff backoff({}, random_seed());
        while (!is_stopping()) {
            if (!is_watcher()) {
                pause(role_period);
                continue;
            }
            try {
                const auto object =
                    follow_store.watch(config_head_key, version, settings.store_watch);
                note_store(true);
                backoff.reset();
                if (object) {
                    take_head(*object);
                    version = object->version;
                }
            }
            catch (const store_unavailable&) {
                if (is_stopping()) {
                    return;
                }
                note_store(false);
                pause(backoff.next());
            }
            catch (const invalid_input& fault) {
                log_event(event::config_refused, {{"findings", fault.what()}});
                pause(backoff.next());
            }
        }
    }

    /** Puts a head that was read in force, with what it needs. */
    void take_head(const store_object& object)
    {
        const auto head = parse_head(object.value, config_head_key);
        const auto until = boot_clock::now() + peer_head_start;
        const auto wants_much = [&] {
            return missing_parts(head, *keeper.state(), {}).size() > few_parts;
        };
        while (boot_clock::now() < until && spreading.has_live_peer() && wants_much()) {
            pause(role_period);
        }
        if (head.revision > keeper.state()->head.revision || !keeper.is_known()) {
            put_in_force(followed.load_parts(object, keeper.state()).state);
        }
    }

    /** Applies a state that the store holds and tells the others. */
    void put_in_force(const std::shared_ptr<const config_state>& state)
    {
        if (keeper.apply(state)) {
            spreading.announce();
        }
    }

    void note_store(bool answers)
    {
        spreading.set_store_answers(answers);
        if (store_answers.exchange(answers) != answers) {
            log_event(answers ? event::store_back : event::store_lost, {{"user", "configuration"}});
        }
    }

    /** Records changes that were taken while the store did not answer. */
    void record_changes()
    {
        store_backoff backoff({}, random_seed());
        while (pause(record_period)) {
            // The others of an element are settled by being named as replaced.
            const auto changes = winning_changes(keeper.unrecorded());
            const auto mine =
                std::ranges::find_if(changes, [&](const auto& change) { return is_due(change); });
            if (mine == changes.end()) {
                backoff.reset();
                continue;
            }
            if (!record(*mine)) {
                pause(backoff.next());
            }
        }
    }

    /** True if this vm is among the few that may record the change now. */
    bool is_due(const unrecorded_change& change) const
    {
        const auto age = clock.wall_now() - from_unix_us(change.at_us);
        const bool fresh = age < patience + spread_time;
        const auto rank = spreading.store_rank("record/" + change.id);
        return !fresh && rank < static_cast<std::size_t>(settings.config_watchers);
    }

    /** @return true if the change is settled. */
    bool record(const unrecorded_change& change)
    {
        change_request request;
        // It was tested when it was taken, and it is in force: it is recorded whatever it leaves.
        request.change = {change.kind, change.target, "", true};
        request.id = change.id;
        request.who = change.by;
        request.supersedes =
            ids_of_element(keeper.unrecorded(), availability_element(change.kind, change.target));
        std::erase(request.supersedes, change.id);
        const auto result = administered.accept(request, fleet(), keeper.state());
        note_store(result.state != nullptr);
        if (result.state) {
            put_in_force(result.state);
        }
        return result.outcome == change_outcome::accepted ||
               result.outcome == change_outcome::repeated;
    }

    fleet_view fleet() const
    {
        const std::lock_guard lock(vms_mutex);
        fleet_view view;
        std::ranges::transform(vms, std::back_inserter(view), [](const vm_record& vm) {
            return fleet_vm{vm.name, vm.failure_domain};
        });
        return view;
    }

    std::vector<vm_position> positions() const
    {
        std::map<std::string, vm_position> by_name;
        const auto own = keeper.position();
        for (const auto& vm : fleet()) {
            by_name[vm.name] = {vm.name, vm.failure_domain, {}, {}, false};
        }
        for (const auto& peer : spreading.positions()) {
            const auto found = by_name.find(peer.vm);
            if (found != by_name.end()) {
                found->second.revision = peer.position.revision;
                found->second.unrecorded = peer.position.unrecorded;
                found->second.reached = spreading.is_live(peer);
            }
        }
        by_name[settings.vm_name] = {settings.vm_name, settings.failure_domain, own.revision,
                                     own.unrecorded, true};
        std::vector<vm_position> result;
        std::ranges::transform(by_name, std::back_inserter(result),
                               [](const auto& item) { return item.second; });
        return result;
    }

    std::string new_change_id()
    {
        const std::lock_guard lock(jobs_mutex);
        return make_change_id(clock.wall_now(), random());
    }

    admin_backend make_backend()
    {
        return {[this] { return keeper.state(); },
                [this] { return keeper.snapshot(); },
                [this] { return keeper.unrecorded(); },
                [this] { return positions(); },
                [this] { return new_change_id(); },
                [this](const change_request& request, const run_options& options) {
                    return run(request, options);
                }};
    }

    /** Runs one request of the administration API. */
    change_answer run(change_request request, const run_options& options)
    {
        change_answer answer;
        answer.id = request.id;
        const auto began = boot_clock::now();
        if (options.dry_run) {
            answer.result = administered.test(request, fleet(), keeper.state());
            return answer;
        }
        if (!request.base) {
            request.base = keeper.state()->head.revision;
        }
        if (is_availability_change(request.change.kind)) {
            request.supersedes =
                ids_of_element(keeper.unrecorded(),
                               availability_element(request.change.kind, request.change.target));
            std::erase(request.supersedes, request.id);
            run_availability(request, answer);
        }
        else {
            answer.result = accept(request);
        }
        const auto accepted = boot_clock::now();
        wait_in_force(answer, options.wait);
        answer.accepted_after = std::chrono::duration_cast<microseconds>(accepted - began);
        answer.in_force_after =
            std::chrono::duration_cast<microseconds>(boot_clock::now() - accepted);
        return answer;
    }

    change_result accept(const change_request& request)
    {
        auto result = administered.accept(request, fleet(), keeper.state());
        if (result.state) {
            put_in_force(result.state);
        }
        return result;
    }

    /** A change of availability does not wait for a store that is down or slow. */
    void run_availability(const change_request& request, change_answer& answer)
    {
        // What the store holds does not show unrecorded take-outs, so these are tested as well.
        if (!keeper.unrecorded().empty() && !passes_in_force(request, answer.result)) {
            return;
        }
        const auto job = start_job(request);
        if (job.wait_for(patience) == std::future_status::ready) {
            answer.result = job.get();
            const bool settled = answer.result.outcome != change_outcome::not_accepted &&
                                 answer.result.outcome != change_outcome::unsure;
            if (settled) {
                return;
            }
        }
        take_unrecorded(request, answer.result);
    }

    /** Runs a request on a thread of its own, which stop() waits for. */
    std::shared_future<change_result> start_job(const change_request& request)
    {
        std::shared_future<change_result> job =
            std::async(std::launch::async, [this, request] { return accept(request); });
        const std::lock_guard lock(jobs_mutex);
        std::erase_if(jobs, [](const auto& item) {
            return item.wait_for(seconds{0}) == std::future_status::ready;
        });
        jobs.push_back(job);
        return job;
    }

    /** Tests a change against what is in force here. @return false if it has findings. */
    bool passes_in_force(const change_request& request, change_result& result)
    {
        result = {};
        try {
            const auto tested = test_change(*keeper.snapshot(), request.change, fleet());
            result.differences = tested.differences;
            result.warnings = tested.warnings;
            return true;
        }
        catch (const invalid_input& fault) {
            result.outcome = change_outcome::refused;
            result.findings = fault.findings();
            return false;
        }
    }

    /** Judges the id of a change by what is known here. @return false if @p result says why not. */
    bool is_usable_id(const change_request& request, change_result& result)
    {
        result = {};
        const auto state = keeper.state();
        const auto unrecorded = keeper.unrecorded();
        const auto same = std::ranges::find(unrecorded, request.id, &unrecorded_change::id);
        const bool is_other = same != unrecorded.end() && (same->kind != request.change.kind ||
                                                           same->target != request.change.target);
        const bool usable =
            judge_change_id(request.id, state->head, clock.wall_now()) == change_id_verdict::usable;
        if (const auto record = find_change(state->head, request.id)) {
            const bool equal = record->request == request_digest(request.change);
            result.outcome = equal ? change_outcome::repeated : change_outcome::bad_change_id;
            result.record = record;
            return false;
        }
        if (!usable || is_other) {
            result.outcome = change_outcome::bad_change_id;
            result.reason = is_other ? "this change id was used for another request"
                                     : "this change id is malformed, too old or from the future";
            return false;
        }
        return true;
    }

    /** Puts a change in force through the other vms, before the store has it. */
    void take_unrecorded(const change_request& request, change_result& result)
    {
        if (!is_usable_id(request, result) || !passes_in_force(request, result)) {
            return;
        }
        keeper.add_unrecorded({{request.id, request.change.kind, request.change.target,
                                request.who + "@" + settings.vm_name, to_unix_us(clock.wall_now()),
                                request.base->value, request.change.force, request.supersedes}});
        spreading.announce();
        log_event(event::take_out_unrecorded,
                  {{"id", request.id}, {"what", describe_change(request.change)}});
        result.outcome = change_outcome::unrecorded;
        result.reason = "the store does not answer; the change holds where listed and is recorded "
                        "when the store is back";
    }

    /** Waits until the change is in force everywhere or @p wait has passed, and reports. */
    void wait_in_force(change_answer& answer, milliseconds wait)
    {
        const auto outcome = answer.result.outcome;
        const bool recorded =
            answer.result.record.has_value() &&
            (outcome == change_outcome::accepted || outcome == change_outcome::repeated);
        if (!recorded && outcome != change_outcome::unrecorded) {
            return;
        }
        const auto until = boot_clock::now() + (recorded ? wait : std::max(wait, spread_time));
        while (true) {
            answer.force = recorded ? report_force(positions(), answer.result.record->revision, "")
                                    : report_force(positions(), {}, answer.id);
            const bool everywhere = answer.force.behind.empty() && answer.force.not_reached.empty();
            if (everywhere || boot_clock::now() >= until || !pause(report_period)) {
                return;
            }
        }
    }

    entry_settings settings;
    peer_link& link;
    system_clock_source clock;
    shared_store_budget budget;
    store_client follow_client;
    store_client admin_client;
    store_of_vm follow_store;
    store_of_vm admin_store;
    repository followed;
    repository administered;
    config_keeper keeper;
    exchange spreading;
    random_engine random;
    prometheus::Gauge& revision_gauge;
    prometheus::Gauge& unrecorded_gauge;
    admin_api api;
    std::atomic<bool> store_answers{true};
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::deque<peer_message> messages;
    mutable std::mutex vms_mutex;
    std::vector<vm_record> vms;
    std::mutex jobs_mutex;
    std::vector<std::shared_future<change_result>> jobs;
    std::vector<std::thread> threads;
};

entry_config::entry_config(const entry_settings& settings, peer_link& link, metrics& measured)
    : impl_(std::make_unique<impl>(settings, link, measured))
{
}

entry_config::~entry_config()
{
    stop();
}

void entry_config::subscribe(config_keeper::subscriber callback)
{
    impl_->keeper.subscribe(std::move(callback));
}

void entry_config::mount(httplib::Server& server)
{
    impl_->api.mount(server);
}

void entry_config::start()
{
    impl_->start();
}

void entry_config::stop()
{
    impl_->stop();
}

void entry_config::set_vms(const std::vector<vm_record>& vms)
{
    std::vector<std::string> names;
    std::ranges::transform(vms, std::back_inserter(names), &vm_record::name);
    impl_->spreading.set_peers(std::move(names));
    const std::lock_guard lock(impl_->vms_mutex);
    impl_->vms = vms;
}

std::shared_ptr<const config_snapshot> entry_config::snapshot() const
{
    return impl_->keeper.snapshot();
}

bool entry_config::is_known() const
{
    return impl_->keeper.is_known();
}

nlohmann::json entry_config::status() const
{
    return {{"revision", impl_->keeper.state()->head.revision.value},
            {"unrecorded", to_json(impl_->keeper.unrecorded())},
            {"watcher", impl_->is_watcher()},
            {"store_answers", impl_->store_answers.load()},
            {"vms", to_json(impl_->positions())}};
}

} // namespace sniperock
