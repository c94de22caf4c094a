/** @file standin_platform.cpp Stand-in for the platform, by cpp-httplib. */
#include "standin_platform.hpp"
#include "finding_type.hpp"
#include "random_type.hpp"
#include "standin_meter.hpp"
#include "standin_vm_list.hpp"
#include "store_client.hpp"
#include "store_protocol.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <charconv>
#include <random>
#include <stdexcept>
#include <thread>

namespace sniperock {
namespace {

constexpr std::size_t pool_threads = 96;
constexpr const char* vm_header = "X-Vm";
constexpr int http_ok = 200;
constexpr int http_not_modified = 304;
constexpr int http_bad_request = 400;
constexpr int http_not_found = 404;
constexpr int http_conflict = 409;
constexpr int http_too_large = 413;
constexpr int http_too_many = 429;
constexpr int http_unavailable = 503;

std::uint64_t parse_number(const std::string& text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

std::optional<store_object> platform_objects::get(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    const auto found = objects_.find(key);
    return found == objects_.end() ? std::nullopt : std::optional{found->second};
}

put_result platform_objects::put(const std::string& key, std::string value, object_version expected)
{
    const std::lock_guard lock(mutex_);
    const auto found = objects_.find(key);
    const object_version present = found == objects_.end() ? 0 : found->second.version;
    if (present != expected) {
        return {put_status::conflict, present};
    }
    const auto removed = removed_.extract(key);
    const object_version version = 1 + (removed.empty() ? present : removed.mapped());
    objects_[key] = {std::move(value), version};
    changed_.notify_all();
    return {put_status::accepted, version};
}

void platform_objects::remove(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    const auto found = objects_.find(key);
    if (found != objects_.end()) {
        removed_[key] = found->second.version;
        objects_.erase(found);
    }
}

std::optional<store_object> platform_objects::watch(const std::string& key, object_version after,
                                                    milliseconds wait)
{
    std::unique_lock lock(mutex_);
    const auto interruptions = interruptions_;
    const auto newer = [&] {
        const auto found = objects_.find(key);
        return found != objects_.end() && found->second.version > after;
    };
    const auto ended = [&] { return stopped_ || interruptions_ != interruptions || newer(); };
    changed_.wait_for(lock, wait, ended);
    return newer() ? std::optional{objects_.at(key)} : std::nullopt;
}

void platform_objects::interrupt()
{
    const std::lock_guard lock(mutex_);
    ++interruptions_;
    changed_.notify_all();
}

void platform_objects::stop()
{
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    changed_.notify_all();
}

/** The HTTP server and everything behind it. */
struct standin_platform::impl {
    impl(milliseconds list_lag, milliseconds vm_keep) : vms(list_lag, vm_keep) {}

    /** Counts a call and applies the faults in force. @return true if the call may go on. */
    bool admit(const httplib::Request& request, httplib::Response& response, call_meter& kind)
    {
        milliseconds delay{0};
        {
            const std::lock_guard lock(mutex);
            const auto now = boot_clock::now();
            kind.add(now);
            all.add(now);
            if (faults.rate_limit > 0 && all.rate(now) > faults.rate_limit) {
                ++limited;
                response.status = http_too_many;
                return false;
            }
            std::uniform_int_distribution<std::int64_t> draw(0, faults.jitter.count());
            delay = faults.delay + milliseconds{draw(random)};
        }
        std::this_thread::sleep_for(delay);
        return reachable(request, response);
    }

    /** Refuses the call if the store is down, for all or for this caller. */
    bool reachable(const httplib::Request& request, httplib::Response& response)
    {
        const std::lock_guard lock(mutex);
        const bool down = faults.down ||
                          faults.down_for.contains(request.get_header_value(vm_header)) ||
                          faults.down_for.contains(request.remote_addr);
        if (down) {
            ++refused;
            response.status = http_unavailable;
        }
        return !down;
    }

    /** Counts one of the writes off that lose something. */
    bool take_loss(std::uint32_t platform_faults::*losses)
    {
        const std::lock_guard lock(mutex);
        if (faults.*losses == 0) {
            return false;
        }
        --(faults.*losses);
        return true;
    }

    /** An answer that is cut off in mid-body is a lost reply to the client. */
    static void lose_reply(httplib::Response& response)
    {
        response.set_content_provider(
            2, store_protocol::value_type,
            [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
    }

    static void answer_object(httplib::Response& response, const store_object& object)
    {
        response.set_header(store_protocol::version_header, std::to_string(object.version));
        response.set_content(object.value, store_protocol::value_type);
    }

    void handle_get(const httplib::Request& request, httplib::Response& response)
    {
        if (!admit(request, response, reads)) {
            return;
        }
        const auto object = objects.get(request.matches[1]);
        if (!object) {
            response.status = http_not_found;
            return;
        }
        answer_object(response, *object);
    }

    void handle_put(const httplib::Request& request, httplib::Response& response)
    {
        if (!admit(request, response, writes)) {
            return;
        }
        if (request.body.size() > max_object_bytes) {
            response.status = http_too_large;
            return;
        }
        if (take_loss(&platform_faults::lost_requests)) {
            lose_reply(response);
            return;
        }
        const auto expected =
            parse_number(request.get_header_value(store_protocol::expected_header));
        const auto result = objects.put(request.matches[1], request.body, expected);
        if (take_loss(&platform_faults::lost_replies)) {
            lose_reply(response);
            return;
        }
        response.status = result.status == put_status::accepted ? http_ok : http_conflict;
        response.set_header(store_protocol::version_header, std::to_string(result.version));
    }

    void handle_delete(const httplib::Request& request, httplib::Response& response)
    {
        if (admit(request, response, writes)) {
            objects.remove(request.matches[1]);
        }
    }

    void handle_watch(const httplib::Request& request, httplib::Response& response)
    {
        if (!admit(request, response, watches)) {
            return;
        }
        const milliseconds wait{parse_number(request.get_param_value("wait_ms"))};
        const auto after = parse_number(request.get_param_value("after"));
        ++waiting;
        const auto object = objects.watch(request.matches[1], after, wait);
        --waiting;
        if (!reachable(request, response)) {
            return;
        }
        if (!object) {
            response.status = http_not_modified;
            return;
        }
        answer_object(response, *object);
    }

    void handle_list(const httplib::Request& request, httplib::Response& response)
    {
        if (!admit(request, response, lists)) {
            return;
        }
        nlohmann::json list = nlohmann::json::array();
        const std::lock_guard lock(mutex);
        for (const auto& record : vms.shown(boot_clock::now())) {
            list.push_back(nlohmann::json::parse(record));
        }
        response.set_content(list.dump(), "application/json");
    }

    void handle_announce(const httplib::Request& request, httplib::Response& response)
    {
        if (!admit(request, response, writes)) {
            return;
        }
        const std::string name = request.matches[1];
        const auto record = nlohmann::json::parse(request.body, nullptr, false);
        if (!record.is_object() || record.value("name", "") != name) {
            response.status = http_bad_request;
            return;
        }
        const std::lock_guard lock(mutex);
        vms.announce(name, request.body, boot_clock::now());
    }

    void handle_withdraw(const httplib::Request& request, httplib::Response& response)
    {
        if (!admit(request, response, writes)) {
            return;
        }
        const std::lock_guard lock(mutex);
        vms.remove(request.matches[1], boot_clock::now());
    }

    void handle_faults(const httplib::Request& request, httplib::Response& response)
    {
        try {
            set_faults(parse_platform_faults(request.body));
        }
        catch (const invalid_input& fault) {
            response.status = http_bad_request;
            response.set_content(fault.what(), "text/plain");
        }
    }

    void set_faults(const platform_faults& wanted)
    {
        {
            const std::lock_guard lock(mutex);
            faults = wanted;
        }
        if (wanted.down || !wanted.down_for.empty()) {
            objects.interrupt();
        }
    }

    platform_counts counts() const
    {
        const std::lock_guard lock(mutex);
        return {reads.total(), writes.total(), watches.total(), lists.total(),
                reads.peak(),  writes.peak(),  watches.peak(),  lists.peak(),
                all.peak(),    refused,        limited,         waiting.load()};
    }

    void handle_counts(httplib::Response& response) const
    {
        const auto now = counts();
        const nlohmann::json body{{"reads", now.reads},
                                  {"writes", now.writes},
                                  {"watches", now.watches},
                                  {"lists", now.lists},
                                  {"most_reads", now.most_reads},
                                  {"most_writes", now.most_writes},
                                  {"most_watches", now.most_watches},
                                  {"most_lists", now.most_lists},
                                  {"most", now.most},
                                  {"refused", now.refused},
                                  {"limited", now.limited},
                                  {"waiting", now.waiting}};
        response.set_content(body.dump(), "application/json");
    }

    void add_routes()
    {
        using request_type = const httplib::Request&;
        using response_type = httplib::Response&;
        const auto bind = [this](void (impl::*handler)(request_type, response_type)) {
            return [this, handler](request_type request, response_type response) {
                (this->*handler)(request, response);
            };
        };
        server.Get("/v1/objects/(.+)", bind(&impl::handle_get));
        server.Put("/v1/objects/(.+)", bind(&impl::handle_put));
        server.Delete("/v1/objects/(.+)", bind(&impl::handle_delete));
        server.Get("/v1/watch/(.+)", bind(&impl::handle_watch));
        server.Get("/v1/vms", bind(&impl::handle_list));
        server.Put("/v1/vms/(.+)", bind(&impl::handle_announce));
        server.Delete("/v1/vms/(.+)", bind(&impl::handle_withdraw));
        server.Post("/standin/faults", bind(&impl::handle_faults));
        server.Get("/standin/counts",
                   [this](request_type, response_type response) { handle_counts(response); });
    }

    httplib::Server server;
    std::thread thread;
    platform_objects objects;
    /** Guards everything below but waiting. */
    mutable std::mutex mutex;
    platform_faults faults;
    random_engine random;
    lagging_vm_list vms;
    call_meter reads;
    call_meter writes;
    call_meter watches;
    call_meter lists;
    call_meter all;
    std::uint64_t refused = 0;
    std::uint64_t limited = 0;
    std::atomic<std::uint64_t> waiting{0};
};

standin_platform::standin_platform(milliseconds list_lag, milliseconds vm_keep)
    : impl_(std::make_unique<impl>(list_lag, vm_keep))
{
}

standin_platform::~standin_platform()
{
    stop();
}

int standin_platform::start(const std::string& address, int port)
{
    impl_->server.new_task_queue = [] { return new httplib::ThreadPool(pool_threads); };
    impl_->server.set_tcp_nodelay(true);
    impl_->server.set_keep_alive_max_count(1'000'000'000);
    impl_->add_routes();
    const int bound = port == 0 ? impl_->server.bind_to_any_port(address)
                                : (impl_->server.bind_to_port(address, port) ? port : -1);
    if (bound < 0) {
        throw std::runtime_error("cannot listen on " + address + ":" + std::to_string(port));
    }
    impl_->thread = std::thread([this] { impl_->server.listen_after_bind(); });
    return bound;
}

void standin_platform::stop()
{
    impl_->objects.stop();
    impl_->server.stop();
    if (impl_->thread.joinable()) {
        impl_->thread.join();
    }
}

void standin_platform::set_faults(const platform_faults& faults)
{
    impl_->set_faults(faults);
}

platform_counts standin_platform::counts() const
{
    return impl_->counts();
}

platform_faults parse_platform_faults(const std::string& text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object()) {
        throw invalid_input({{"faults", 0, "/", "must be a JSON object"}});
    }
    static const std::set<std::string> known{"down",     "delay_ms",   "lost_replies", "jitter_ms",
                                             "down_for", "rate_limit", "lost_requests"};
    finding_list findings;
    for (const auto& [name, value] : document.items()) {
        if (!known.contains(name)) {
            findings.push_back({"faults", 0, "/" + name, "is not a known field"});
        }
    }
    if (!findings.empty()) {
        throw invalid_input(std::move(findings));
    }
    try {
        platform_faults faults;
        faults.down = document.value("down", false);
        faults.delay = milliseconds{document.value("delay_ms", 0U)};
        faults.lost_replies = document.value("lost_replies", 0U);
        faults.jitter = milliseconds{document.value("jitter_ms", 0U)};
        faults.lost_requests = document.value("lost_requests", 0U);
        faults.down_for = document.value("down_for", std::set<std::string>{});
        faults.rate_limit = document.value("rate_limit", 0U);
        return faults;
    }
    catch (const nlohmann::json::exception& fault) {
        throw invalid_input({{"faults", 0, "/", fault.what()}});
    }
}

} // namespace sniperock
