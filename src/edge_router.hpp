/** @file edge_router.hpp Finds the plan and the service of a request. */
#pragma once

#include "config_type.hpp"
#include "dispatch_type.hpp"
#include "http_type.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sniperock {

/** Lookup tables of one configuration snapshot; immutable, shared by all threads. */
class edge_router {
public:
    explicit edge_router(std::shared_ptr<const config_snapshot> snapshot);

    /** The plan whose key this is; null if there is none. */
    [[nodiscard]] const plan* find_plan(std::string_view key) const;
    /** The service that the host or the path leads to; null if there is none. */
    [[nodiscard]] const service_entry* find_service(std::string_view host,
                                                    std::string_view path) const;
    /** The service called @p name; null if there is none. */
    [[nodiscard]] const service_entry* service_named(std::string_view name) const;
    [[nodiscard]] const config_snapshot& snapshot() const { return *snapshot_; }

private:
    std::shared_ptr<const config_snapshot> snapshot_;
    std::unordered_map<std::string, const plan*> plans_by_hash_;
    std::unordered_map<std::string, const service_entry*> services_by_host_;
    std::unordered_map<std::string, const service_entry*> services_by_name_;
    std::vector<const service_entry*> services_by_prefix_;
};

/** The class of a request by its method and whether it carries an idempotency key. */
call_class classify(std::string_view method);

/** Parses a Retry-After header that gives seconds; empty if it gives anything else. */
std::optional<milliseconds> parse_retry_after(std::string_view text);

/** Parses a server's load header; empty if malformed. */
std::optional<load_report> parse_load(std::string_view text);

} // namespace sniperock
