/** @file ctl_client.cpp Calls the administration API of any entry vm that answers. */
#include "ctl_client.hpp"

#include <httplib.h>

#include <charconv>

namespace sniperock {
namespace {

constexpr seconds connect_timeout{2};
constexpr seconds answer_timeout{30};
constexpr int rounds = 2;
constexpr int http_unavailable = 503;
constexpr int http_gateway_timeout = 504;

struct endpoint {
    std::string address;
    int port = 0;
};

endpoint parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    endpoint result{text.substr(0, colon), 0};
    if (colon != std::string::npos) {
        std::from_chars(text.data() + colon + 1, text.data() + text.size(), result.port);
    }
    return result;
}

httplib::Result send_once(const std::string& server, const std::string& key,
                          const ctl_request& request)
{
    const auto at = parse_endpoint(server);
    httplib::Client client(at.address, at.port);
    client.set_connection_timeout(connect_timeout);
    client.set_read_timeout(answer_timeout);
    client.set_write_timeout(answer_timeout);
    httplib::Headers headers{{"Authorization", "Bearer " + key}};
    if (!request.change_id.empty()) {
        headers.emplace("X-Change-Id", request.change_id);
    }
    if (request.if_revision) {
        headers.emplace("If-Match", std::to_string(*request.if_revision));
    }
    if (request.method == "PUT") {
        return client.Put(request.path, headers, request.body, "application/json");
    }
    if (request.method == "POST") {
        return client.Post(request.path, headers, request.body, "application/json");
    }
    return client.Get(request.path, headers);
}

bool never_sent(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
}

/** True if another server may do better: this one, or its way to the store, is at fault. */
bool may_differ_elsewhere(int status)
{
    return status == http_unavailable || status == http_gateway_timeout;
}

} // namespace

ctl_outcome send_request(const ctl_target& target, const ctl_request& request)
{
    ctl_outcome outcome;
    for (int round = 0; round < rounds; ++round) {
        for (const auto& server : target.servers) {
            const auto result = send_once(server, target.key, request);
            if (!result) {
                outcome.unsure |= request.method != "GET" && !never_sent(result.error());
                outcome.failures.push_back(server + ": " + httplib::to_string(result.error()));
                continue;
            }
            outcome.reply =
                ctl_reply{result->status, result->body, result->get_header_value("ETag"), server};
            if (!may_differ_elsewhere(result->status)) {
                outcome.unsure = false;
                return outcome;
            }
            outcome.unsure |= result->status == http_gateway_timeout;
            outcome.failures.push_back(server + ": status " + std::to_string(result->status));
        }
        // A second round settles a write whose answer was lost; nothing else needs one.
        if (!outcome.unsure) {
            break;
        }
    }
    return outcome;
}

} // namespace sniperock
