/** @file quarantine_exchange.cpp Tells the VMs of the fleet which requests are quarantined. */
#include "quarantine_exchange.hpp"

#include "hash_func.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** VMs that collect what is seen of one request; two of them may be lost or out of reach. */
constexpr std::size_t collector_count = 3;

} // namespace

void quarantine_exchange::announce(request_fingerprint request, local_time now)
{
    const auto others = transport_.others();
    auto collectors = others;
    collectors.push_back(transport_.self);
    const auto count = std::min(collector_count, collectors.size());
    const auto first_other = collectors.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(collectors, first_other, {}, [request](const std::string& address) {
        return stable_hash(address, request.value);
    });
    collectors.erase(first_other, collectors.end());
    const bool collects = std::erase(collectors, transport_.self) > 0;
    const bool only_suspected = quarantine_.suspected(request) &&
                                quarantine_.verdict(request, now) == quarantine_verdict::allowed;
    if (collects && !only_suspected) {
        send(request, false, others, now);
        return;
    }
    send(request, true, collectors, now);
}

void quarantine_exchange::receive(const quarantine_message& message, const std::string& sender,
                                  local_time now)
{
    const auto request = message.report.fingerprint;
    switch (quarantine_.apply(message.report, now)) {
    case quarantine_reaction::answer_known:
        send(request, true, {sender}, now);
        break;
    case quarantine_reaction::changed:
        if (message.relay) {
            send(request, false, transport_.others(), now);
        }
        break;
    case quarantine_reaction::none:
        break;
    }
}

void quarantine_exchange::send(request_fingerprint request, bool relay,
                               const std::vector<std::string>& to, local_time now)
{
    if (const auto report = quarantine_.report_of(request, now); report && !to.empty()) {
        transport_.send({*report, relay}, to);
    }
}

} // namespace sniperock
