/** @file permit_book.hpp An owner's record of the permits and requests of one service. */
#pragma once

#include "dispatch_type.hpp"
#include "peer_type.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sniperock {

/** A granted slot that was not given back. */
struct permit_record {
    permit_id permit;
    std::string server;
    std::string plan;
    peer_identity holder;
    /** The holder's request number; 0 for this vm's own calls. */
    std::uint64_t request = 0;
    wall_time fence;
    /** The server must not start the call after this. */
    wall_time start_by{};
    /** When it was granted; 1970 if another owner granted it. */
    local_time since{};
    /** False if it counts against the limits at the owner that granted it. */
    bool counts_for_plan = true;
    /** False for this vm's own calls, which always give their permits back. */
    bool expires = true;
};

/** Names one request of another vm. */
struct request_key {
    peer_identity from;
    std::uint64_t request = 0;

    friend auto operator<=>(const request_key&, const request_key&) = default;
};

/** What is known of a request. */
struct request_state {
    /** Waits here under this ticket, if not 0. */
    call_ticket waiting;
    /** Was granted this permit, if not 0. */
    permit_id permit;
    /** Forgotten after this, as a request past its fence is refused anyway. */
    wall_time fence;
};

/** Outstanding permits by id, and requests by number so that repeated messages are harmless. */
class permit_book {
public:
    void add(const permit_record& record);
    [[nodiscard]] const permit_record* find(permit_id permit) const;
    /** Removes one permit; empty if it is not outstanding. */
    std::optional<permit_record> take(permit_id permit);
    /** Removes the permits whose fence is before @p time. */
    std::vector<permit_record> take_expired(wall_time time);
    /** Removes the permits on @p server. */
    std::vector<permit_record> take_server(const std::string& server);
    /** Moves the fences of a dead holder's permits forward to @p until. */
    void shorten(const peer_identity& holder, wall_time until);
    /** Latest fence among the permits of @p plan; 1970 if it has none. */
    [[nodiscard]] wall_time latest_fence(const std::string& plan) const;
    [[nodiscard]] std::size_t size() const { return permits_.size(); }
    /** True if nothing here ends by itself as time passes. */
    [[nodiscard]] bool quiet() const
    {
        return by_fence_.empty() && requests_.empty() && early_.empty();
    }

    [[nodiscard]] const request_state* request(const request_key& key) const;
    void note_request(const request_key& key, const request_state& state);
    /** Forgets requests whose fence is before @p time. */
    void forget_requests(wall_time time);
    /** Notes a release that came before the permit's hand-over. */
    void note_early_release(permit_id permit, wall_time fence);
    /** True once for a permit whose release came early. */
    bool take_early_release(permit_id permit);

private:
    void unlink(const permit_record& record);

    std::unordered_map<permit_id, permit_record> permits_;
    std::set<std::pair<wall_time, permit_id>> by_fence_;
    std::map<request_key, request_state> requests_;
    std::set<std::pair<wall_time, request_key>> requests_by_fence_;
    std::map<permit_id, wall_time> early_;
};

} // namespace sniperock
