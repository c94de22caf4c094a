/** @file admin_api.cpp The operators' HTTP interface, by cpp-httplib. */
#include "admin_api.hpp"
#include "admin_json.hpp"
#include "config_func.hpp"
#include "config_head_func.hpp"
#include "event_type.hpp"
#include "store_type.hpp"

#include <httplib.h>

#include <algorithm>
#include <charconv>

namespace sniperock {
namespace {

using json = nlohmann::json;
using request_type = const httplib::Request&;
using response_type = httplib::Response&;

constexpr int http_bad_request = 400;
constexpr int http_unauthorized = 401;
constexpr int http_forbidden = 403;
constexpr int http_not_found = 404;
constexpr int http_request_timeout = 408;
constexpr int http_too_large = 413;
constexpr int http_too_many = 429;
constexpr int http_unavailable = 503;
constexpr const char* json_type = "application/json";
constexpr const char* api_prefix = "/v1/";
constexpr const char* retry_after_s = "2";
/** Longest wait for a body. */
constexpr seconds body_timeout{10};
/** Longest wait for one read from a client. */
constexpr seconds read_timeout{2};
constexpr std::size_t max_keep_alive_requests = 100;
/** Longest wait that a client may ask for. */
constexpr milliseconds max_wait{10'000};

void answer(response_type response, int status, const json& body)
{
    response.status = status;
    response.set_content(body.dump(2) + "\n", json_type);
}

void answer_error(response_type response, int status, const std::string& reason)
{
    answer(response, status, {{"outcome", "refused"}, {"reason", reason}});
}

/** The number that all of @p text is. */
std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = error == std::errc{} && end == text.data() + text.size();
    return whole ? std::optional{value} : std::nullopt;
}

/** The key after "Bearer ". */
std::string bearer_key(request_type request)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto header = request.get_header_value("Authorization");
    return header.starts_with(scheme) ? header.substr(scheme.size()) : std::string{};
}

bool is_set(request_type request, const char* name)
{
    return request.get_param_value(name) == "1";
}

/** Strips the quotes that an entity tag has. */
std::string unquoted(std::string text)
{
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
        return text.substr(1, text.size() - 2);
    }
    return text;
}

/** Reads a body within its bounds. @return false if the answer says what was wrong. */
bool read_body(const httplib::ContentReader& reader, response_type response, std::string& body)
{
    const auto until = boot_clock::now() + body_timeout;
    bool too_large = false;
    bool too_slow = false;
    const bool whole = reader([&](const char* data, std::size_t size) {
        too_large = body.size() + size > max_object_bytes;
        too_slow = boot_clock::now() > until;
        if (!too_large && !too_slow) {
            body.append(data, size);
        }
        return !too_large && !too_slow;
    });
    if (too_large || response.status == http_too_large) {
        answer_error(response, http_too_large,
                     "the body is over " + std::to_string(max_object_bytes) +
                         " bytes, the most that the store holds; nothing was changed");
    }
    else if (!whole) {
        answer_error(response, too_slow ? http_request_timeout : http_bad_request,
                     "the body did not arrive whole; nothing was changed");
    }
    return whole && !too_large;
}

} // namespace

/** The routes' handlers. */
struct admin_api::impl {
    impl(admin_backend with, std::string first_hash)
        : backend(std::move(with)), first_key_hash(std::move(first_hash)), limiter(auth_limits{})
    {
    }

    /** Finds who asks. @return empty if the answer refuses the request. */
    std::optional<admin_identity> identify(request_type request, response_type response,
                                           admin_role needed)
    {
        if (!limiter.may_try(request.remote_addr, boot_clock::now())) {
            response.set_header("Retry-After", retry_after_s);
            answer_error(response, http_too_many, "too many requests without a valid key");
            return std::nullopt;
        }
        const auto key = bearer_key(request);
        auto who = authenticate(key, backend.snapshot()->admins, first_key_hash);
        if (!who) {
            limiter.note_failure(request.remote_addr, boot_clock::now());
            log_event(event::admin_refused,
                      {{"from", request.remote_addr}, {"path", request.path}});
            response.set_header("WWW-Authenticate", "Bearer");
            answer_error(response, http_unauthorized, "needs a valid key");
            return std::nullopt;
        }
        if (who->role < needed) {
            answer_error(response, http_forbidden,
                         "needs the role " + std::string{to_name(needed)});
            return std::nullopt;
        }
        return who;
    }

    /** Reads the options that every change has. @return false if one is malformed. */
    static bool read_options(request_type request, response_type response, run_options& options,
                             change_request& wanted)
    {
        options.dry_run = is_set(request, "dry_run");
        wanted.change.force = is_set(request, "force");
        if (request.has_param("wait_ms")) {
            const auto wait = parse_number(request.get_param_value("wait_ms"));
            if (!wait || milliseconds{*wait} > max_wait) {
                answer_error(response, http_bad_request, "wait_ms must be 0 to 10000");
                return false;
            }
            options.wait = milliseconds{*wait};
        }
        if (request.has_header("If-Match")) {
            const auto base = parse_number(unquoted(request.get_header_value("If-Match")));
            if (!base) {
                answer_error(response, http_bad_request, "If-Match must be a revision");
                return false;
            }
            wanted.base = config_revision{*base};
        }
        return true;
    }

    void run(request_type request, response_type response, const admin_identity& who,
             config_change change)
    {
        change_request wanted;
        wanted.change = std::move(change);
        wanted.who = who.name;
        wanted.bootstrap_key = who.bootstrap_key;
        run_options options;
        if (!read_options(request, response, options, wanted)) {
            return;
        }
        wanted.id = request.has_header("X-Change-Id") ? request.get_header_value("X-Change-Id")
                                                      : backend.new_change_id();
        const auto result = backend.run(wanted, options);
        log_event(event::admin_change,
                  {{"who", who.name},
                   {"what", describe_change(wanted.change)},
                   {"change_id", wanted.id},
                   {"outcome", std::string{to_name(result.result.outcome)}},
                   {"before", result.result.record ? result.result.record->before : ""},
                   {"after", result.result.record ? result.result.record->after : ""}});
        const int status = http_status(result.result);
        if (status == http_unavailable) {
            response.set_header("Retry-After", retry_after_s);
        }
        answer(response, status, to_json(result));
    }

    /** Adds a route that replaces a list. */
    void add_put(httplib::Server& server, const std::string& path, change_kind kind,
                 admin_role needed)
    {
        server.Put(path, [this, kind, needed](request_type request, response_type response,
                                              const httplib::ContentReader& reader) {
            const auto who = identify(request, response, needed);
            std::string body;
            if (who && read_body(reader, response, body)) {
                run(request, response, *who, {kind, "", std::move(body), false});
            }
        });
    }

    /** Adds a route that takes a failure domain or vm out or in. */
    void add_post(httplib::Server& server, const std::string& path, change_kind kind)
    {
        server.Post(path, [this, kind](request_type request, response_type response) {
            if (const auto who = identify(request, response, admin_role::operate)) {
                run(request, response, *who, {kind, request.matches[1], "", false});
            }
        });
    }

    /** Adds a route that reads; @p make answers. */
    void add_get(httplib::Server& server, const std::string& path, admin_role needed,
                 std::function<void(request_type, response_type)> make)
    {
        server.Get(path, [this, needed, make = std::move(make)](request_type request,
                                                                response_type response) {
            if (identify(request, response, needed)) {
                make(request, response);
            }
        });
    }

    /** Adds a route that reads a list out of the snapshot in force. */
    void add_list(httplib::Server& server, const std::string& path, admin_role needed,
                  std::function<std::string(const config_snapshot&)> format)
    {
        add_get(server, path, needed,
                [this, format = std::move(format)](request_type, response_type response) {
                    const auto snapshot = backend.snapshot();
                    const auto revision = std::to_string(snapshot->revision.value);
                    response.set_header("ETag", "\"" + revision + "\"");
                    response.set_content(format(*snapshot) + "\n", json_type);
                });
    }

    void add_lists(httplib::Server& server)
    {
        add_list(server, "/v1/plans", admin_role::read,
                 [](const config_snapshot& from) { return format_plans(from.plans); });
        add_list(server, "/v1/allowances", admin_role::read,
                 [](const config_snapshot& from) { return format_allowances(from.allowances); });
        add_list(server, "/v1/services", admin_role::read,
                 [](const config_snapshot& from) { return format_services(from.services); });
        add_list(server, "/v1/availability", admin_role::read,
                 [](const config_snapshot& from) { return format_availability(from.out); });
        add_list(server, "/v1/admins", admin_role::administer,
                 [](const config_snapshot& from) { return format_admins(from.admins); });
    }

    void answer_status(response_type response) const
    {
        const auto state = backend.state();
        answer(response, 200,
               {{"revision", state->head.revision.value},
                {"digest", parts_digest(state->head)},
                {"parts", state->head.parts.size()},
                {"bytes", parts_bytes(state->head)},
                {"out", json::parse(format_availability(backend.snapshot()->out))},
                {"unrecorded", to_json(backend.unrecorded())},
                {"vms", to_json(backend.positions())}});
    }

    void answer_audit(response_type response) const
    {
        const auto state = backend.state();
        json changes = json::array();
        std::ranges::transform(state->head.recent, std::back_inserter(changes),
                               [](const change_record& record) { return to_json(record); });
        answer(response, 200,
               {{"complete_since_us", state->head.recent_since_us},
                {"unrecorded", to_json(backend.unrecorded())},
                {"changes", std::move(changes)}});
    }

    void answer_change(request_type request, response_type response) const
    {
        const std::string id = request.matches[1];
        const auto record = find_change(backend.state()->head, id);
        const auto pending = backend.unrecorded();
        const bool holds = std::ranges::find(pending, id, &unrecorded_change::id) != pending.end();
        if (!record && !holds) {
            answer_error(response, http_not_found, "this vm knows no change with this id");
            return;
        }
        change_answer known;
        known.id = id;
        known.result.record = record;
        known.result.outcome = record ? change_outcome::repeated : change_outcome::unrecorded;
        known.force = report_force(backend.positions(),
                                   record ? record->revision : config_revision{}, record ? "" : id);
        answer(response, 200, to_json(known));
    }

    void add_routes(httplib::Server& server)
    {
        add_lists(server);
        add_put(server, "/v1/plans", change_kind::put_plans, admin_role::operate);
        add_put(server, "/v1/allowances", change_kind::put_allowances, admin_role::operate);
        add_put(server, "/v1/services", change_kind::put_services, admin_role::operate);
        add_put(server, "/v1/admins", change_kind::put_admins, admin_role::administer);
        add_post(server, "/v1/domains/([^/]+)/out", change_kind::domain_out);
        add_post(server, "/v1/domains/([^/]+)/in", change_kind::domain_in);
        add_post(server, "/v1/vms/([^/]+)/out", change_kind::vm_out);
        add_post(server, "/v1/vms/([^/]+)/in", change_kind::vm_in);
        add_get(server, "/v1/status", admin_role::read,
                [this](request_type, response_type response) { answer_status(response); });
        add_get(server, "/v1/audit", admin_role::read,
                [this](request_type, response_type response) { answer_audit(response); });
        add_get(server, "/v1/changes/([^/]+)", admin_role::read,
                [this](request_type request, response_type response) {
                    answer_change(request, response);
                });
    }

    /** Refuses requests without a valid key before their body is read. */
    void guard(httplib::Server& server)
    {
        server.set_pre_routing_handler([this](request_type request, response_type response) {
            const bool open = !request.path.starts_with(api_prefix);
            return open || identify(request, response, admin_role::read)
                       ? httplib::Server::HandlerResponse::Unhandled
                       : httplib::Server::HandlerResponse::Handled;
        });
    }

    admin_backend backend;
    std::string first_key_hash;
    auth_limiter limiter;
};

admin_api::admin_api(admin_backend backend, std::string first_key_hash)
    : impl_(std::make_unique<impl>(std::move(backend), std::move(first_key_hash)))
{
}

admin_api::~admin_api() = default;

void admin_api::mount(httplib::Server& server)
{
    server.set_payload_max_length(max_object_bytes);
    server.set_read_timeout(read_timeout);
    server.set_write_timeout(read_timeout);
    server.set_keep_alive_timeout(read_timeout.count());
    server.set_keep_alive_max_count(max_keep_alive_requests);
    impl_->guard(server);
    impl_->add_routes(server);
}

} // namespace sniperock
