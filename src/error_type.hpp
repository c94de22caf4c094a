/** @file error_type.hpp Exceptions for socket failures of the operating system. */
#pragma once

#include <asio/error.hpp>

#include <stdexcept>
#include <string>
#include <system_error>

namespace sniperock {

/** A listening address cannot be used. */
class listen_failed : public std::runtime_error {
public:
    listen_failed(const std::string& address, const std::error_code& reason)
        : std::runtime_error("cannot listen on " + address + ": " + reason.message()),
          in_use_(reason == asio::error::address_in_use)
    {
    }
    /** True if another process uses the address; it may exit. */
    [[nodiscard]] bool in_use() const noexcept { return in_use_; }

private:
    bool in_use_;
};

} // namespace sniperock
