/** @file request_identity.cpp Identity of what a caller requests, over calls and VMs. */
#include "request_identity.hpp"

#include "hash_func.hpp"

namespace sniperock {

request_fingerprint fingerprint_of(const caller_request& request,
                                   std::optional<std::string_view> account)
{
    const auto& head = request.head;
    std::uint64_t hash = stable_hash(request.host());
    hash = stable_hash(head.method, hash);
    hash = stable_hash(head.target, hash);
    hash = stable_hash(account ? *account : head.headers.find("authorization").value_or(""), hash);
    if (request.body) {
        hash = stable_hash(request.body->from(0).substr(0, max_identifying_body), hash);
        hash = stable_hash(std::to_string(head.body_length), hash);
    }
    return {hash};
}

} // namespace sniperock
