#include "spawned_gateway.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <memory>
#include <string>

namespace cactusgw::test {

namespace {

/// The stop time of the settings and a margin for a busy machine.
constexpr int kStopMs = 10000;
/// The time for which a start is repeated and a margin for a busy machine.
constexpr int kGiveUpMs = 40000;
constexpr int kCannotListen = 4;

/// A gateway, and a second one on the same ports that has found them in use.
struct Overlap
{
  Overlap()
    : mFile(SpawnSettings::Free().Text())
    , mFormer(
        std::make_unique<SpawnedGateway>(mFile.Path(), mFormerOutput.mWriter))
  {
    mFormerOutput.CloseWriter();
    mFormerOutput.ReadUntil("event=started");
    mNext = std::make_unique<SpawnedGateway>(mFile.Path(), mOutput.mWriter);
    mOutput.CloseWriter();
  }

  ScratchFile mFile;
  Pipe mFormerOutput;
  Pipe mOutput;
  std::unique_ptr<SpawnedGateway> mFormer;
  std::unique_ptr<SpawnedGateway> mNext;
};

} // namespace

// A restart that overlapped with the former process ended at once.
TEST(DaemonStartTest, AStartWaitsForThePortsOfTheFormerProcess)
{
  Overlap overlap;
  const std::string delayed = overlap.mOutput.ReadUntil("event=start-delayed");
  ASSERT_NE(delayed.find("event=start-delayed"), std::string::npos) << delayed;
  overlap.mFormer->Signal(SIGTERM);
  const std::string log = overlap.mOutput.ReadUntil("event=started");
  EXPECT_NE(log.find("event=started"), std::string::npos) << log;
  EXPECT_EQ(log.find("event=start-delayed"), std::string::npos) << log;
  EXPECT_EQ(overlap.mFormer->WaitForExit(kStopMs), 0);
  overlap.mNext->Signal(SIGTERM);
  EXPECT_EQ(overlap.mNext->WaitForExit(kStopMs), 0);
}

TEST(DaemonStartTest, ASigtermEndsAStartThatWaits)
{
  Overlap overlap;
  overlap.mOutput.ReadUntil("event=start-delayed");
  overlap.mNext->Signal(SIGTERM);
  EXPECT_EQ(overlap.mNext->WaitForExit(kStopMs), 0);
  const std::string log = overlap.mOutput.ReadUntil("event=stopped");
  EXPECT_NE(log.find("event=stopped"), std::string::npos) << log;
}

TEST(DaemonStartTest, AStartThatWaitsInVainEndsWithItsExitCode)
{
  Overlap overlap;
  EXPECT_EQ(overlap.mNext->WaitForExit(kGiveUpMs), kCannotListen);
}

} // namespace cactusgw::test
