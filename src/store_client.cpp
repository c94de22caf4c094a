/** @file store_client.cpp The object store over HTTP, by cpp-httplib. */
#include "store_client.hpp"
#include "enum_table.hpp"
#include "store_protocol.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <charconv>

namespace sniperock {

/** One kept-alive connection to the store. */
struct store_client::connection {
    connection(const std::string& address, int port, milliseconds timeout) : client(address, port)
    {
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        client.set_connection_timeout(timeout);
        client.set_read_timeout(timeout);
        client.set_write_timeout(timeout);
    }
    httplib::Client client;
};

namespace {

constexpr int http_ok = 200;
constexpr int http_not_modified = 304;
constexpr int http_not_found = 404;
constexpr int http_conflict = 409;

object_version version_of(const httplib::Response& response)
{
    const auto text = response.get_header_value(store_protocol::version_header);
    object_version version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

store_object to_object(const httplib::Response& response)
{
    return {response.body, version_of(response)};
}

[[noreturn]] void fail(const std::string& what, const httplib::Result& result)
{
    if (result) {
        throw store_unavailable(what + ": status " + std::to_string(result->status));
    }
    throw store_unavailable(what + ": " + httplib::to_string(result.error()));
}

/** True if the request cannot have reached the store. */
bool never_sent(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
}

} // namespace

store_client::store_client(std::string address, int port, milliseconds timeout)
    : address_(std::move(address)), port_(port), timeout_(timeout),
      calls_(std::make_unique<connection>(address_, port_, timeout_)),
      watches_(std::make_unique<connection>(address_, port_, timeout_))
{
}

store_client::~store_client() = default;

std::optional<store_object> store_client::get(const std::string& key)
{
    const std::lock_guard lock(calls_mutex_);
    const auto result = calls_->client.Get(store_protocol::object_path + key);
    if (result && result->status == http_ok) {
        return to_object(*result);
    }
    if (result && result->status == http_not_found) {
        return std::nullopt;
    }
    fail("get " + key, result);
}

put_result store_client::put(const std::string& key, const std::string& value,
                             object_version expected)
{
    const std::lock_guard lock(calls_mutex_);
    const httplib::Headers headers{{store_protocol::expected_header, std::to_string(expected)}};
    const auto result = calls_->client.Put(store_protocol::object_path + key, headers, value,
                                           store_protocol::value_type);
    if (!result) {
        return {never_sent(result.error()) ? put_status::unavailable : put_status::unsure, 0};
    }
    if (result->status == http_ok) {
        return {put_status::accepted, version_of(*result)};
    }
    if (result->status == http_conflict) {
        return {put_status::conflict, version_of(*result)};
    }
    return {put_status::unavailable, 0};
}

void store_client::remove(const std::string& key)
{
    const std::lock_guard lock(calls_mutex_);
    const auto result = calls_->client.Delete(store_protocol::object_path + key);
    if (!result || (result->status != http_ok && result->status != http_not_found)) {
        fail("remove " + key, result);
    }
}

std::optional<store_object> store_client::watch(const std::string& key, object_version after,
                                                milliseconds wait)
{
    const std::lock_guard lock(watch_mutex_);
    watches_->client.set_read_timeout(wait + timeout_);
    const auto path = store_protocol::watch_path + key + "?after=" + std::to_string(after) +
                      "&wait_ms=" + std::to_string(wait.count());
    const auto result = watches_->client.Get(path);
    if (result && result->status == http_ok) {
        return to_object(*result);
    }
    if (result && result->status == http_not_modified) {
        return std::nullopt;
    }
    fail("watch " + key, result);
}

std::vector<vm_record> store_client::list_vms()
{
    const std::lock_guard lock(calls_mutex_);
    const auto result = calls_->client.Get(store_protocol::vms_path);
    if (!result || result->status != http_ok) {
        fail("list vms", result);
    }
    return parse_vm_records(result->body);
}

void store_client::announce_vm(const vm_record& record)
{
    const std::lock_guard lock(calls_mutex_);
    const auto result =
        calls_->client.Put(std::string{store_protocol::vms_path} + "/" + record.name,
                           format_vm_record(record), "application/json");
    if (!result || result->status != http_ok) {
        fail("announce vm", result);
    }
}

void store_client::cancel_watch()
{
    watches_->client.stop();
}

std::string format_vm_record(const vm_record& record)
{
    return nlohmann::json{{"name", record.name},
                          {"failure_domain", record.failure_domain},
                          {"peer_endpoint", record.peer_endpoint},
                          {"caller_endpoint", record.caller_endpoint},
                          {"admin_endpoint", record.admin_endpoint},
                          {"incarnation", record.incarnation},
                          {"state", record.state == vm_state::live ? "live" : "leaving"}}
        .dump();
}

std::vector<vm_record> parse_vm_records(const std::string& text)
{
    std::vector<vm_record> records;
    try {
        for (const auto& item : nlohmann::json::parse(text)) {
            records.push_back({item.at("name"), item.at("failure_domain"), item.at("peer_endpoint"),
                               item.at("caller_endpoint"), item.at("admin_endpoint"),
                               item.at("incarnation"),
                               item.at("state") == "leaving" ? vm_state::leaving : vm_state::live});
        }
    }
    catch (const nlohmann::json::exception& fault) {
        throw store_unavailable(std::string{"the list of vms is malformed: "} + fault.what());
    }
    return records;
}

} // namespace sniperock
