/** @file edge_context.cpp What the connections of one io thread share. */
#include "edge_context.hpp"
#include "http_write.hpp"
#include "random_type.hpp"

namespace sniperock {
namespace {

constexpr std::size_t input_bytes = 262'144;

} // namespace

edge_context::edge_context(asio::io_context& with_io, const edge_parts& with_parts)
    : io(with_io), parts(with_parts), pool(with_io), timers(with_io), caller_input(input_bytes),
      upstream_input(input_bytes), abandoned(timers, upstream_input),
      retries(with_parts.limits.retry_ratio, with_parts.limits.retry_burst),
      hedges(with_parts.limits.hedge_ratio, with_parts.limits.hedge_burst)
{
    append_number(id_prefix_, random_seed());
    id_prefix_ += '-';
}

const std::shared_ptr<const edge_router>& edge_context::router()
{
    const auto version = parts.routers.version();
    if (!router_ || version != router_version_) {
        router_version_ = version;
        router_ = parts.routers.get();
    }
    return router_;
}

latency_quantile& edge_context::latency_of(const std::string& service)
{
    return latencies_.try_emplace(service, parts.limits.hedge_quantile).first->second;
}

std::string edge_context::make_call_id()
{
    std::string id = id_prefix_;
    append_number(id, next_id_++);
    return id;
}

bool edge_context::may_log()
{
    constexpr int most_a_second = 10;
    const auto now = boot_clock::now();
    if (now - log_second_ >= seconds{1}) {
        log_second_ = now;
        logged_ = 0;
    }
    return ++logged_ <= most_a_second;
}

} // namespace sniperock
