/** @file cli_signal.cpp Waits for the signal that ends a process. */
#include "cli_signal.hpp"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

namespace sniperock {

void wait_for_signal()
{
    asio::io_context io;
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([](const asio::error_code&, int) {});
    io.run();
}

} // namespace sniperock
