/** @file log_writer.cpp Writes log lines on a thread of its own. */
#include "log_writer.hpp"

#include "clock_type.hpp"

#include <cerrno>
#include <csignal>
#include <string_view>
#include <thread>

#include <unistd.h>

namespace sniperock {
namespace {

/** Lines are gathered for so long, so that the writer wakes a few times a second at most. */
constexpr milliseconds gather_time{100};
/** At the end of the process the last lines have so long to be written. */
constexpr milliseconds last_lines_time{200};
constexpr milliseconds last_lines_step{5};

/** Writes all of @p text. @return false if the descriptor is broken. */
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

/** A reader that is gone shows as an error of the write and does not end the process. */
void block_broken_pipe_signal()
{
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGPIPE);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void write_lines(int descriptor, const std::shared_ptr<log_ring>& ring,
                 const std::function<std::string(std::uint64_t)>& tell_dropped)
{
    block_broken_pipe_signal();
    for (;;) {
        auto text = ring->take();
        if (text.empty()) {
            return;
        }
        if (const auto dropped = ring->take_dropped(); dropped > 0) {
            text += tell_dropped(dropped);
        }
        if (!write_all(descriptor, text)) {
            return;
        }
        std::this_thread::sleep_for(gather_time);
    }
}

} // namespace

log_writer::log_writer(int descriptor, std::size_t max_bytes,
                       std::function<std::string(std::uint64_t)> tell_dropped)
    : ring_(std::make_shared<log_ring>(max_bytes))
{
    std::thread([descriptor, ring = ring_, tell = std::move(tell_dropped)] {
        write_lines(descriptor, ring, tell);
    }).detach();
}

log_writer::~log_writer()
{
    for (auto waited = milliseconds{0}; waited < last_lines_time && !ring_->empty();
         waited += last_lines_step) {
        std::this_thread::sleep_for(last_lines_step);
    }
    ring_->close();
}

void log_writer::write(std::string line)
{
    ring_->add(std::move(line));
}

} // namespace sniperock
