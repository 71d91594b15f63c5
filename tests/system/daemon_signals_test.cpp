#include "spawned_gateway.hpp"

#include <gtest/gtest.h>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <string>
#include <sys/stat.h>
#include <unistd.h>

namespace cactusgw::test {

namespace {

constexpr int kStarts = 50;
/// The stop time of the settings and a margin for a busy machine.
constexpr int kStopMs = 10000;

} // namespace

// A SIGHUP or SIGTERM before the handlers were set ended the process. It reads
// its settings from a FIFO, so that the signals arrive while it does.
TEST(DaemonSignalsTest, SignalsDuringTheStartAreActedOnAfterwards)
{
  for (int i = 0; i < kStarts; ++i) {
    const std::string settings = SpawnSettings::Free().Text();
    const ScratchFile file{ "" };
    std::remove(file.Path().c_str());
    ASSERT_EQ(mkfifo(file.Path().c_str(), S_IRUSR | S_IWUSR), 0);
    Pipe output;
    SpawnedGateway gateway{ file.Path(), output.mWriter };
    output.CloseWriter();
    // Returns when the process has opened the FIFO for reading.
    const int writer = open(file.Path().c_str(), O_WRONLY | O_CLOEXEC);
    ASSERT_GE(writer, 0);
    file.Replace(settings);
    gateway.Signal(SIGHUP);
    gateway.Signal(SIGTERM);
    std::signal(SIGPIPE, SIG_IGN);
    const ssize_t n = write(writer, settings.data(), settings.size());
    EXPECT_EQ(n, static_cast<ssize_t>(settings.size()));
    close(writer);
    const std::string log = output.ReadUntil("event=stopped");
    EXPECT_NE(log.find("event=reloaded"), std::string::npos) << log;
    EXPECT_NE(log.find("event=stopped"), std::string::npos) << log;
    ASSERT_EQ(gateway.WaitForExit(kStopMs), 0) << "start " << i;
  }
}

// Signals that are pending when the program starts, before any of its own
// instructions, and blocked by the parent process, were never acted on.
TEST(DaemonSignalsTest, SignalsPendingBeforeTheProgramAreActedOn)
{
  for (int i = 0; i < kStarts; ++i) {
    const ScratchFile file{ SpawnSettings::Free().Text() };
    Pipe output;
    SpawnedGateway gateway{ file.Path(), output.mWriter, { SIGHUP, SIGTERM } };
    output.CloseWriter();
    ASSERT_EQ(gateway.WaitForExit(kStopMs), 0) << "start " << i;
    const std::string log = output.ReadUntil("event=stopped");
    EXPECT_NE(log.find("event=reloaded"), std::string::npos) << log;
    EXPECT_NE(log.find("event=stopped"), std::string::npos) << log;
  }
}

} // namespace cactusgw::test
