#include "cactusgw/telemetry/stream_appender.hpp"

#include <gtest/gtest.h>
#include <log4cplus/helpers/pointer.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <array>
#include <csignal>
#include <fcntl.h>
#include <memory>
#include <string>
#include <unistd.h>

namespace cactusgw::test {

namespace {

class StreamAppenderTest : public testing::Test
{
protected:
  StreamAppenderTest()
  {
    static const log4cplus::Initializer sInitializer; // Works only once.
    EXPECT_EQ(pipe2(mEnds.data(), O_CLOEXEC), 0);
    mAppender = new StreamAppender(mEnds[1]);
    mAppender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  }
  ~StreamAppenderTest() override
  {
    mAppender = log4cplus::SharedAppenderPtr{};
    close(mEnds[0]);
    close(mEnds[1]);
  }

  void Log(const std::string& aText)
  {
    mAppender->doAppend(log4cplus::spi::InternalLoggingEvent{
      "part", log4cplus::INFO_LOG_LEVEL, aText, __FILE__, __LINE__ });
  }

  /// All that can be read without waiting.
  std::string ReadAll() const
  {
    fcntl(mEnds[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> buf{};
    ssize_t n = 0;
    while ((n = read(mEnds[0], buf.data(), buf.size())) > 0) {
      text.append(buf.data(), static_cast<std::size_t>(n));
    }
    return text;
  }

  std::array<int, 2> mEnds{ -1, -1 };
  log4cplus::SharedAppenderPtr mAppender;
};

} // namespace

// A log that nobody read stopped the process that wrote it.
TEST_F(StreamAppenderTest, LinesBeyondTheQueueAreCountedAndReported)
{
  constexpr std::size_t kLines = 4000;
  const std::string line(99, 'x');
  for (std::size_t i = 0; i < kLines; ++i) {
    Log(line);
  }
  std::size_t read = 0;
  std::string text;
  constexpr int kRounds = 4; // The queue may take several fillings of the pipe.
  for (int i = 0; i < kRounds; ++i) {
    text += ReadAll();
    Log("next");
  }
  text += ReadAll();
  for (std::size_t at = text.find(line); at != std::string::npos;
       at = text.find(line, at + line.size())) {
    ++read;
  }
  EXPECT_LT(read, kLines);
  const std::string report =
    "event=log-lines-dropped count=" + std::to_string(kLines - read) + "\n";
  EXPECT_NE(text.find(report), std::string::npos) << read;
}

TEST_F(StreamAppenderTest, AnOutputWithoutReaderIsNoError)
{
  std::signal(SIGPIPE, SIG_IGN);
  close(mEnds[0]);
  Log("lost");
  ASSERT_EQ(pipe2(mEnds.data(), O_CLOEXEC), 0);
}

} // namespace cactusgw::test
