/** @file error_type.hpp Exceptions for socket failures of the operating system. */
#pragma once

#include <stdexcept>
#include <string>

namespace sniperock {

/** A listening address cannot be used. */
class listen_failed : public std::runtime_error {
public:
    listen_failed(const std::string& address, const std::string& reason)
        : std::runtime_error("cannot listen on " + address + ": " + reason)
    {
    }
};

} // namespace sniperock
