#include "cactusgw/telemetry/stream_appender.hpp"

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

namespace cactusgw {

namespace {

bool
MayBlock(int aDescriptor)
{
  struct stat status = {};
  return fstat(aDescriptor, &status) == 0 &&
         (S_ISFIFO(status.st_mode) || S_ISSOCK(status.st_mode) ||
          isatty(aDescriptor) != 0);
}

} // namespace

StreamAppender::StreamAppender(int aDescriptor)
  : mDescriptor(aDescriptor)
  , mMayBlock(MayBlock(aDescriptor))
{
}

StreamAppender::~StreamAppender()
{
  destructorImpl(); // Required of each appender by log4cplus.
}

void
StreamAppender::close()
{
  WriteQueue();
  closed = true;
}

void
StreamAppender::append(const log4cplus::spi::InternalLoggingEvent& aEvent)
{
  WriteQueue();
  const std::string line = Format(aEvent);
  const std::string report = mDroppedLines == 0 ? "" : DropReport();
  if (mQueue.size() + report.size() + line.size() > kMaxQueuedBytes) {
    ++mDroppedLines;
    return;
  }
  mDroppedLines = 0;
  mQueue += report;
  mQueue += line;
  WriteQueue();
}

std::string
StreamAppender::Format(const log4cplus::spi::InternalLoggingEvent& aEvent) const
{
  std::ostringstream text;
  layout->formatAndAppend(text, aEvent);
  return text.str();
}

std::string
StreamAppender::DropReport() const
{
  return Format(log4cplus::spi::InternalLoggingEvent{
    "log",
    log4cplus::WARN_LOG_LEVEL,
    "event=log-lines-dropped count=" + std::to_string(mDroppedLines),
    __FILE__,
    __LINE__ });
}

void
StreamAppender::WriteQueue()
{
  while (!mQueue.empty() && HasRoom()) {
    // A pipe that is writable has room for PIPE_BUF bytes at least.
    const std::size_t size = mMayBlock
                               ? std::min<std::size_t>(mQueue.size(), PIPE_BUF)
                               : mQueue.size();
    const ssize_t n = write(mDescriptor, mQueue.data(), size);
    if (n >= 0) {
      mQueue.erase(0, static_cast<std::size_t>(n));
    } else if (errno == EAGAIN) {
      return;
    } else if (errno != EINTR) {
      // The reader is gone or the disk is full; it may change later.
      mDroppedLines += static_cast<std::uint64_t>(
        std::count(mQueue.begin(), mQueue.end(), '\n'));
      mQueue.clear();
    }
  }
}

bool
StreamAppender::HasRoom() const
{
  if (!mMayBlock) {
    return true;
  }
  pollfd output{ mDescriptor, POLLOUT, 0 };
  return poll(&output, 1, 0) > 0;
}

} // namespace cactusgw
