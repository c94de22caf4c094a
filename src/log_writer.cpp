/** @file log_writer.cpp Writes log lines from a separate thread. */
#include "log_writer.hpp"

#include "clock_type.hpp"

#include <cerrno>
#include <csignal>
#include <string_view>
#include <thread>

#include <unistd.h>

namespace sniperock {
namespace {

/** Time between two writes, during which lines are batched, so that the writer wakes at most a few
 * times a second. */
constexpr milliseconds batch_period{100};
/** Time limit for writing the last lines at the end of the process. */
constexpr milliseconds max_flush_time{200};
constexpr milliseconds flush_poll_period{5};

/** Writes all of @p text. @return false on a write error. */
bool write_all(int descriptor, std::string_view text)
{
    while (!text.empty()) {
        const auto size = ::write(descriptor, text.data(), text.size());
        if (size < 0 && errno != EINTR) {
            return false;
        }
        text.remove_prefix(size < 0 ? 0 : static_cast<std::size_t>(size));
    }
    return true;
}

/** Blocks SIGPIPE, so that a reader that has closed the pipe causes a write error instead of ending
 * the process. */
void block_sigpipe()
{
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGPIPE);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void write_lines(int descriptor, const std::shared_ptr<log_queue>& queue,
                 const std::function<std::string(std::uint64_t)>& format_dropped)
{
    block_sigpipe();
    for (;;) {
        auto text = queue->pop_all();
        if (text.empty()) {
            return;
        }
        if (const auto dropped = queue->pop_dropped_count(); dropped > 0) {
            text += format_dropped(dropped);
        }
        if (!write_all(descriptor, text)) {
            return;
        }
        std::this_thread::sleep_for(batch_period);
    }
}

} // namespace

log_writer::log_writer(int descriptor, std::size_t max_bytes,
                       std::function<std::string(std::uint64_t)> format_dropped)
    : queue_(std::make_shared<log_queue>(max_bytes))
{
    std::thread([descriptor, queue = queue_, format = std::move(format_dropped)] {
        write_lines(descriptor, queue, format);
    }).detach();
}

log_writer::~log_writer()
{
    for (auto waited = milliseconds{0}; waited < max_flush_time && !queue_->empty();
         waited += flush_poll_period) {
        std::this_thread::sleep_for(flush_poll_period);
    }
    queue_->close();
}

void log_writer::write(std::string line)
{
    queue_->add(std::move(line));
}

} // namespace sniperock
