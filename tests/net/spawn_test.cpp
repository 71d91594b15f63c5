#include "cactusgw/net/spawn.hpp"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>
#include <log4cplus/appender.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <new>
#include <stdexcept>
#include <string>
#include <vector>

namespace cactusgw::test {

namespace {

class LineCollector : public log4cplus::Appender
{
public:
  explicit LineCollector(std::vector<std::string>& aLines)
    : mLines(aLines)
  {
  }
  ~LineCollector() override { destructorImpl(); }
  void close() override {}

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override
  {
    mLines.push_back(aEvent.getMessage());
  }

private:
  std::vector<std::string>& mLines;
};

Task<void>
Throw(std::string aText)
{
  throw std::runtime_error{ aText };
  co_return;
}

} // namespace

class SpawnTest : public ::testing::Test
{
protected:
  SpawnTest() { log4cplus::Logger::getRoot().addAppender(mAppender); }
  ~SpawnTest() override
  {
    log4cplus::Logger::getRoot().removeAppender(mAppender);
  }
  std::uint64_t Failures() const { return TaskFailures() - mBefore; }

  net::io_context mContext{ 1 };
  std::vector<std::string> mLines;
  log4cplus::SharedAppenderPtr mAppender{ new LineCollector{ mLines } };
  std::uint64_t mBefore = TaskFailures();
};

// A task that throws must not end without a line.
TEST_F(SpawnTest, ATaskThatThrowsIsLoggedAndCounted)
{
  SpawnTask(mContext.get_executor(), "migration", Throw("an error"));
  mContext.run();
  EXPECT_EQ(Failures(), 1U);
  EXPECT_EQ(mLines,
            std::vector<std::string>{
              "event=task-failed task=migration error=\"an error\"" });
}

// A loop that throws must not be gone for good.
TEST_F(SpawnTest, ALoopThatThrowsIsStartedAgain)
{
  int starts = 0;
  SpawnLoop(mContext.get_executor(), "watch", [&starts]() -> Task<void> {
    ++starts;
    if (starts == 1) {
      throw std::bad_alloc{};
    }
    if (starts == 2) {
      throw 0; // Not a std::exception.
    }
    co_return;
  });
  mContext.run();
  EXPECT_EQ(starts, 3);
  EXPECT_EQ(Failures(), 2U);
}

// An exception out of a plain handler must not end the process.
TEST_F(SpawnTest, AHandlerThatThrowsLeavesTheEventLoopRunning)
{
  bool hasRun = false;
  net::post(mContext, [] { throw std::runtime_error{ "an error" }; });
  net::post(mContext, [&hasRun] { hasRun = true; });
  RunToEnd(mContext);
  EXPECT_TRUE(hasRun);
  EXPECT_EQ(Failures(), 1U);
}

} // namespace cactusgw::test
