/** @file cli_entry_test.cpp Processes that start while their settings are written or signals come.
 */
#include "cli_func.hpp"
#include "clock_type.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace sniperock;

namespace {

const std::string settings_head = "[vm]\nname = vm-1\nfailure_domain = north\n[callers]\n"
                                  "listen = 127.0.0.1:0\nstop_grace = 100 ms\n";
const std::string settings_tail =
    "[pages]\nready = 127.0.0.1:0\ndirectory = 127.0.0.1:0\nmetrics_port = 0\n"
    "[members]\nport = 0\n";

/** A child that runs the entry command with the settings in a temporary folder. */
class entry_process {
public:
    entry_process()
    {
        std::string path = (std::filesystem::temp_directory_path() / "entry-XXXXXX").string();
        REQUIRE(::mkdtemp(path.data()) != nullptr);
        folder_ = path;
    }
    ~entry_process()
    {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
        }
        std::filesystem::remove_all(folder_);
    }
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    [[nodiscard]] std::string settings_path() const { return folder_ / "node.ini"; }
    void start()
    {
        pid_ = ::fork();
        if (pid_ == 0) {
            std::_Exit(run_command_line({"entry", "--settings", settings_path()}));
        }
        REQUIRE(pid_ > 0);
    }
    /** Sends a signal, unless the process has ended. */
    void signal(int number) const
    {
        if (pid_ > 0) {
            ::kill(pid_, number);
        }
    }
    /** Waits for the end of the process. @return its status as of waitpid(); -1 if it runs on. */
    int wait(milliseconds limit)
    {
        const auto end = boot_clock::now() + limit;
        int status = 0;
        while (boot_clock::now() < end) {
            if (::waitpid(pid_, &status, WNOHANG) == pid_) {
                pid_ = 0;
                return status;
            }
            std::this_thread::sleep_for(milliseconds{5});
        }
        return -1;
    }

private:
    std::filesystem::path folder_;
    ::pid_t pid_ = 0;
};

constexpr milliseconds start_time{300};
/** Much more than a stop takes with the grace of the settings. */
constexpr milliseconds stop_time{10'000};

} // namespace

// Guards against a process that ends as its settings are read while they are written.
TEST_CASE("a process starts although its settings file is still being written")
{
    entry_process process;
    std::ofstream file(process.settings_path());
    file << settings_head << "[pages]\nready =" << std::flush;
    process.start();
    CHECK(process.wait(start_time) == -1);
    file.close();
    std::ofstream(process.settings_path()) << settings_head << settings_tail;
    CHECK(process.wait(2 * start_time) == -1);
    process.signal(SIGTERM);
    CHECK(process.wait(stop_time) == 0);
}

TEST_CASE("a process whose settings stay invalid ends and says so")
{
    entry_process process;
    std::ofstream(process.settings_path()) << settings_head << "nonsense = 1\n";
    process.start();
    const auto status = process.wait(stop_time);
    CHECK(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == exit_code::usage);
}

// Guards against a SIGHUP between the start of a process and its signal handlers: it ended it.
TEST_CASE("a process that is told to reload while it starts goes on")
{
    entry_process process;
    // Reading the settings blocks until they are written to the pipe.
    REQUIRE(::mkfifo(process.settings_path().c_str(), S_IRUSR | S_IWUSR) == 0);
    process.start();
    CHECK(process.wait(start_time) == -1);
    process.signal(SIGHUP);
    CHECK(process.wait(start_time) == -1);
}
