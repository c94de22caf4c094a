/** @file locate.hpp Tells callers which entry vms to use for a service. */
#pragma once

#include "clock_type.hpp"
#include "random_type.hpp"

#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/** An entry vm as callers see it. */
struct locate_entry {
    std::string vm;
    std::string failure_domain;
    /** address:port for callers. */
    std::string endpoint;
    bool leaving = false;
    /** Services with servers that this vm owns. */
    std::vector<std::string> services;
};

/** Answers /locate from the entry vms known now. */
class locate_service {
public:
    /**
     * @param keep how long callers keep an answer, before jitter of up to a quarter either way.
     * @param seed seed of the jitter.
     */
    locate_service(milliseconds keep, std::uint64_t seed) : keep_(keep), random_(seed) {}

    /** Takes over the entry vms known now. */
    void set_entries(std::vector<locate_entry> entries);
    /**
     * The JSON answer for @p service: owners first, those of @p near first among them.
     * @return empty if no entry vm is known.
     */
    std::optional<std::string> answer(std::string_view service, std::string_view near);

private:
    milliseconds keep_;
    std::mutex mutex_;
    random_engine random_;
    std::vector<locate_entry> entries_;
};

} // namespace sniperock
