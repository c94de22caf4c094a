/** @file request_identity.hpp Identity of what a caller requests, over calls and VMs. */
#pragma once

#include "caller_exchange.hpp"
#include "strong_id.hpp"

#include <cstddef>
#include <optional>
#include <string_view>

namespace sniperock {

/** Bytes of a body that distinguish it from others; a longer one is told by these and its length.
 * A request is dispatched with at least this much of its body, or all of it. */
inline constexpr std::size_t max_identifying_body = 65'536;

/**
 * Fingerprint of a request: its host, method, target, credentials and body. A request that a caller
 * sends again has the same one at each VM, whatever its attempt id and deadline.
 * @param account name of the client account, empty if the request has none; it stands for the
 * credentials, which a hash that is logged and sent to other VMs could give away. Empty optional if
 * the configuration names no accounts.
 */
request_fingerprint fingerprint_of(const caller_request& request,
                                   std::optional<std::string_view> account = std::nullopt);

} // namespace sniperock
