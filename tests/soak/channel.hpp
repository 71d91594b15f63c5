#ifndef CACTUSGW_TESTS_SOAK_CHANNEL_HPP
#define CACTUSGW_TESTS_SOAK_CHANNEL_HPP

/// Blocking sockets of the soak's stand-ins and clients. Times are
/// milliseconds since the start of the program.

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cactusgw::soak {

long NowMs();
void SleepMs(long aMs);

std::string AddressOf(int aPort);
/// A port that is free at present.
int FreePort();

struct Message
{
  std::string Header(std::string_view aName) const;
  std::string Method() const;
  std::string Target() const;
  int Status() const;

  /// The request or status line.
  std::string mLine;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  bool mIsWhole = false;
};

/// A connected socket with a read buffer; closed on destruction.
class Channel
{
public:
  explicit Channel(int aFd)
    : mFd(aFd)
  {
  }
  ~Channel() { Close(); }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// @param aReceiveBuffer bytes; zero for the default
  static std::unique_ptr<Channel> Connect(int aPort, int aReceiveBuffer = 0);

  bool Send(std::string_view aBytes);
  /// Closes the sending half.
  void HalfClose() const;
  /// Closes with a reset.
  void Reset();
  void Close();

  /// Reads more into the buffer; false at the end, an error or the time.
  bool Fill(long aUntilMs);
  std::optional<Message> ReadHeader(long aUntilMs);
  /// Reads the body that belongs to the header; mIsWhole says whether it ended
  /// as it must.
  void ReadBody(Message& aMessage, long aUntilMs, bool aIsAnswer);
  /// Reads a header and its body.
  std::optional<Message> Read(long aUntilMs, bool aIsAnswer);

  bool HasUnreadBytes() const { return !mBuffer.empty(); }
  int Fd() const { return mFd; }
  /// Pause after each read, for slow readers.
  void SetPause(long aMs) { mPauseMs = aMs; }

private:
  bool ReadChunks(std::string& aBody, long aUntilMs);

  int mFd;
  long mPauseMs = 0;
  bool mIsClosedWell = false;
  std::string mBuffer;
};

/// Accepts connections and serves each on a thread of its own, until the
/// program ends.
class Listener
{
public:
  using Handler = std::function<void(Channel&)>;
  explicit Listener(Handler aHandler);
  int Port() const { return mPort; }
  /// While held, the system drops the first packet of each new connection, as
  /// if the port could not be reached.
  void SetHeld(bool aIsHeld);

private:
  void Accept();

  Handler mHandler;
  int mPort = 0;
  int mFd = -1;
  std::atomic<bool> mIsHeld = false;
  /// Connections that fill the backlog while held.
  std::vector<std::unique_ptr<Channel>> mFillers;
};

} // namespace cactusgw::soak

#endif // CACTUSGW_TESTS_SOAK_CHANNEL_HPP
