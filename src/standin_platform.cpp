/** @file standin_platform.cpp Stand-in for the platform, by cpp-httplib. */
#include "standin_platform.hpp"
#include "store_client.hpp"
#include "store_protocol.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <deque>
#include <stdexcept>
#include <thread>

namespace sniperock {
namespace {

constexpr std::size_t pool_threads = 96;
constexpr int http_ok = 200;
constexpr int http_not_modified = 304;
constexpr int http_bad_request = 400;
constexpr int http_not_found = 404;
constexpr int http_conflict = 409;
constexpr int http_too_large = 413;
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
    objects_[key] = {std::move(value), present + 1};
    changed_.notify_all();
    return {put_status::accepted, present + 1};
}

void platform_objects::remove(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    objects_.erase(key);
}

std::optional<store_object> platform_objects::watch(const std::string& key, object_version after,
                                                    milliseconds wait)
{
    std::unique_lock lock(mutex_);
    const auto newer = [&] {
        const auto found = objects_.find(key);
        return stopped_ || (found != objects_.end() && found->second.version > after);
    };
    if (!changed_.wait_for(lock, wait, newer) || stopped_) {
        return std::nullopt;
    }
    const auto found = objects_.find(key);
    return found == objects_.end() ? std::nullopt : std::optional{found->second};
}

void platform_objects::stop()
{
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    changed_.notify_all();
}

/** The HTTP server and everything behind it. */
struct standin_platform::impl {
    explicit impl(milliseconds lag) : list_lag(lag) {}

    /** Applies the faults in force. @return true if the call may go on. */
    bool admit(httplib::Response& response)
    {
        platform_faults now;
        {
            const std::lock_guard lock(mutex);
            now = faults;
        }
        std::this_thread::sleep_for(now.delay);
        if (now.down) {
            response.status = http_unavailable;
            return false;
        }
        return true;
    }

    bool take_lost_reply()
    {
        const std::lock_guard lock(mutex);
        if (faults.lost_replies == 0) {
            return false;
        }
        --faults.lost_replies;
        return true;
    }

    static void answer_object(httplib::Response& response, const store_object& object)
    {
        response.set_header(store_protocol::version_header, std::to_string(object.version));
        response.set_content(object.value, store_protocol::value_type);
    }

    void handle_get(const httplib::Request& request, httplib::Response& response)
    {
        ++reads;
        if (!admit(response)) {
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
        ++writes;
        if (!admit(response)) {
            return;
        }
        if (request.body.size() > max_object_bytes) {
            response.status = http_too_large;
            return;
        }
        const auto expected =
            parse_number(request.get_header_value(store_protocol::expected_header));
        const auto result = objects.put(request.matches[1], request.body, expected);
        if (take_lost_reply()) {
            // An answer that is cut off in mid-body is a lost reply to the client.
            response.set_content_provider(
                2, store_protocol::value_type,
                [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
            return;
        }
        response.status = result.status == put_status::accepted ? http_ok : http_conflict;
        response.set_header(store_protocol::version_header, std::to_string(result.version));
    }

    void handle_delete(const httplib::Request& request, httplib::Response& response)
    {
        ++writes;
        if (admit(response)) {
            objects.remove(request.matches[1]);
        }
    }

    void handle_watch(const httplib::Request& request, httplib::Response& response)
    {
        ++watches;
        if (!admit(response)) {
            return;
        }
        const milliseconds wait{parse_number(request.get_param_value("wait_ms"))};
        const auto after = parse_number(request.get_param_value("after"));
        const auto object = objects.watch(request.matches[1], after, wait);
        if (!object || !admit(response)) {
            response.status =
                response.status == http_unavailable ? http_unavailable : http_not_modified;
            return;
        }
        answer_object(response, *object);
    }

    void handle_list(const httplib::Request&, httplib::Response& response)
    {
        ++lists;
        if (!admit(response)) {
            return;
        }
        const auto visible_since = boot_clock::now() - list_lag;
        nlohmann::json list = nlohmann::json::array();
        {
            const std::lock_guard lock(mutex);
            for (const auto& [name, history] : vms) {
                const auto shown = std::find_if(history.rbegin(), history.rend(), [&](auto& item) {
                    return item.first <= visible_since;
                });
                if (shown != history.rend()) {
                    list.push_back(nlohmann::json::parse(shown->second));
                }
            }
        }
        response.set_content(list.dump(), "application/json");
    }

    void handle_announce(const httplib::Request& request, httplib::Response& response)
    {
        ++writes;
        if (!admit(response)) {
            return;
        }
        const std::string name = request.matches[1];
        const auto record = nlohmann::json::parse(request.body, nullptr, false);
        if (record.is_discarded() || record.value("name", "") != name) {
            response.status = http_bad_request;
            return;
        }
        const std::lock_guard lock(mutex);
        vms[name].emplace_back(boot_clock::now(), request.body);
    }

    void handle_faults(const httplib::Request& request, httplib::Response& response)
    {
        const auto wanted = nlohmann::json::parse(request.body, nullptr, false);
        if (!wanted.is_object()) {
            response.status = http_bad_request;
            return;
        }
        const std::lock_guard lock(mutex);
        faults = {wanted.value("down", false), milliseconds{wanted.value("delay_ms", 0)},
                  wanted.value("lost_replies", 0U)};
    }

    void handle_counts(httplib::Response& response) const
    {
        const nlohmann::json body{{"reads", reads.load()},
                                  {"writes", writes.load()},
                                  {"watches", watches.load()},
                                  {"lists", lists.load()}};
        response.set_content(body.dump(), "application/json");
    }

    void add_routes()
    {
        using request_type = const httplib::Request&;
        using response_type = httplib::Response&;
        server.Get("/v1/objects/(.+)", [this](request_type request, response_type response) {
            handle_get(request, response);
        });
        server.Put("/v1/objects/(.+)", [this](request_type request, response_type response) {
            handle_put(request, response);
        });
        server.Delete("/v1/objects/(.+)", [this](request_type request, response_type response) {
            handle_delete(request, response);
        });
        server.Get("/v1/watch/(.+)", [this](request_type request, response_type response) {
            handle_watch(request, response);
        });
        server.Get("/v1/vms", [this](request_type request, response_type response) {
            handle_list(request, response);
        });
        server.Put("/v1/vms/(.+)", [this](request_type request, response_type response) {
            handle_announce(request, response);
        });
        server.Post("/standin/faults", [this](request_type request, response_type response) {
            handle_faults(request, response);
        });
        server.Get("/standin/counts",
                   [this](request_type, response_type response) { handle_counts(response); });
    }

    milliseconds list_lag;
    httplib::Server server;
    std::thread thread;
    platform_objects objects;
    mutable std::mutex mutex;
    platform_faults faults;
    std::map<std::string, std::deque<std::pair<local_time, std::string>>> vms;
    std::atomic<std::uint64_t> reads{0};
    std::atomic<std::uint64_t> writes{0};
    std::atomic<std::uint64_t> watches{0};
    std::atomic<std::uint64_t> lists{0};
};

standin_platform::standin_platform(milliseconds list_lag) : impl_(std::make_unique<impl>(list_lag))
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
    const std::lock_guard lock(impl_->mutex);
    impl_->faults = faults;
}

platform_counts standin_platform::counts() const
{
    return {impl_->reads.load(), impl_->writes.load(), impl_->watches.load(), impl_->lists.load()};
}

} // namespace sniperock
