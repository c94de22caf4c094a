/** @file quarantine_exchange.hpp Tells the VMs of the fleet which requests are quarantined. */
#pragma once

#include "quarantine.hpp"

#include <functional>
#include <string>
#include <vector>

namespace sniperock {

/** A report on its way to other VMs. */
struct quarantine_message {
    quarantine_report report;
    /** The receiver passes a verdict that changes on to all VMs. */
    bool relay = false;
};

/** What the exchange needs of the rest of the process. */
struct quarantine_transport {
    /** Address of this VM. */
    std::string self;
    /** Addresses of all other VMs that are alive. */
    std::function<std::vector<std::string>()> others;
    std::function<void(const quarantine_message&, const std::vector<std::string>& to)> send;
};

/**
 * For each request, a few VMs chosen by a hash collect what single VMs have seen: an end that one
 * VM saw costs a few messages in a fleet of any size. When the verdict changes there, they tell all
 * VMs at once. Heartbeats carry the same reports, for VMs that have started or were cut off, and
 * for messages that were lost.
 */
class quarantine_exchange {
public:
    quarantine_exchange(request_quarantine& quarantine, quarantine_transport transport)
        : quarantine_(quarantine), transport_(std::move(transport))
    {
    }

    /** This VM has learned something about a request by itself. */
    void announce(request_fingerprint request, local_time now);
    /** A message, or a report in a heartbeat, has arrived from the VM at @p sender. */
    void receive(const quarantine_message& message, const std::string& sender, local_time now);

private:
    void send(request_fingerprint request, bool relay, const std::vector<std::string>& to,
              local_time now);

    request_quarantine& quarantine_;
    quarantine_transport transport_;
};

} // namespace sniperock
