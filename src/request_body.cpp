/** @file request_body.cpp The body of a request, which may still be arriving while it is sent on.
 */
#include "request_body.hpp"

#include <algorithm>
#include <utility>

namespace sniperock {

request_body::request_body(std::shared_ptr<body_memory> memory) : memory_(std::move(memory)) {}

request_body::~request_body()
{
    memory_->bytes -= held_.size();
}

void request_body::append(std::string_view piece)
{
    held_.append(piece);
    memory_->bytes += piece.size();
    memory_->peak_bytes = std::max(memory_->peak_bytes, memory_->bytes);
    notify_received();
}

void request_body::set_complete()
{
    complete_ = true;
    notify_received();
}

std::shared_ptr<const void> request_body::on_received(std::function<void()> handler)
{
    const auto owner = std::make_shared<const std::function<void()>>(std::move(handler));
    on_received_ = owner;
    return owner;
}

void request_body::notify_received() const
{
    if (const auto handler = on_received_.lock()) {
        (*handler)();
    }
}

std::string_view request_body::from(std::size_t offset) const
{
    return std::string_view{held_}.substr(std::min(offset - first_, held_.size()));
}

void request_body::release(std::size_t offset)
{
    if (complete_ || !full() || offset <= first_) {
        return;
    }
    const auto sent = offset - first_;
    held_.erase(0, sent);
    memory_->bytes -= sent;
    first_ = offset;
    if (!full() && on_room_) {
        on_room_();
    }
}

} // namespace sniperock
