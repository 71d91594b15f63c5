#ifndef CACTUSGW_TELEMETRY_STREAM_APPENDER_HPP
#define CACTUSGW_TELEMETRY_STREAM_APPENDER_HPP

/// Writes log lines to a descriptor without waiting for its reader.

#include <log4cplus/appender.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cactusgw {

/// Lines for which a pipe, socket or terminal has no room are queued up to
/// kMaxQueuedBytes, and dropped beyond. The next line that fits is preceded by
/// `event=log-lines-dropped count=N`. A queued line is written with a later
/// one. The descriptor's mode isn't changed, as other processes may share it.
class StreamAppender : public log4cplus::Appender
{
public:
  static constexpr std::size_t kMaxQueuedBytes = std::size_t{ 64 } * 1024;

  /// @param aDescriptor stays open and belongs to the caller
  explicit StreamAppender(int aDescriptor);
  ~StreamAppender() override;
  StreamAppender(const StreamAppender&) = delete;
  StreamAppender& operator=(const StreamAppender&) = delete;

  /// Writes what there is room for.
  void close() override;

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override;

private:
  std::string Format(const log4cplus::spi::InternalLoggingEvent& aEvent) const;
  std::string DropReport() const;
  void Queue(std::string_view aLine);
  void WriteQueue();
  bool HasRoom() const;

  int mDescriptor;
  bool mMayBlock;
  std::string mQueue;
  std::uint64_t mDroppedLines = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_TELEMETRY_STREAM_APPENDER_HPP
