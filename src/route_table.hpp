/** @file route_table.hpp Finds the route of a request by host and longest path prefix. */
#pragma once

#include "account_table.hpp"
#include "config_type.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sniperock {

/** Lookup tables for one configuration; immutable. */
class route_table {
public:
    explicit route_table(configuration config);
    ~route_table() = default;
    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;

    /**
     * Finds the route of a request.
     * @param host the Host header; letter case and a port are ignored.
     * @param target path and query of the request.
     * @return null if no route matches.
     */
    [[nodiscard]] const route* find(std::string_view host, std::string_view target) const;
    /** The configuration of a service; null if it is not configured. */
    [[nodiscard]] const service_config* find_service(std::string_view name) const;
    [[nodiscard]] const configuration& config() const { return config_; }
    /** Who may send requests. */
    [[nodiscard]] const account_table& accounts() const { return accounts_; }

private:
    configuration config_;
    account_table accounts_;
    /** Routes of each host in lower case, longest prefix first. */
    std::unordered_map<std::string, std::vector<const route*>> by_host_;
};

/** Holds the table in force; its version only increases during the lifetime of the process. */
class route_holder {
public:
    /** Puts @p config in force if its version is newer. @return false if it is not newer. */
    bool apply(configuration config);
    /** The table in force; null before the first configuration. */
    [[nodiscard]] std::shared_ptr<const route_table> table() const { return table_; }

private:
    std::shared_ptr<const route_table> table_;
};

} // namespace sniperock
