#include "link_proxy.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <vector>

namespace cactusgw::soak {

namespace {

constexpr int kTickMs = 20;
constexpr long kDelayMs = 200;
constexpr std::size_t kPieceBytes = std::size_t{ 64 } * 1024;
constexpr std::size_t kDripBytes = 16;

} // namespace

LinkProxy::LinkProxy(int aTarget)
  : mTarget(aTarget)
  , mListener([this](Channel& aChannel) { Serve(aChannel); })
{
}

void
LinkProxy::SetFault(LinkFault aFault)
{
  mFault = aFault;
  mListener.SetHeld(aFault == LinkFault::HangNew || aFault == LinkFault::Cut);
}

void
LinkProxy::Serve(Channel& aChannel) const
{
  const int generation = mGeneration;
  const std::unique_ptr<Channel> target =
    mFault == LinkFault::Reset ? nullptr : Channel::Connect(mTarget);
  if (!target) {
    aChannel.Reset();
    return;
  }
  pollfd ends[2] = { { aChannel.Fd(), POLLIN, 0 },
                     { target->Fd(), POLLIN, 0 } };
  Channel* const channels[2] = { &aChannel, target.get() };
  std::vector<char> buf(kPieceBytes);
  int open = 2;
  while (open > 0) {
    poll(ends, 2, kTickMs);
    if (mGeneration != generation) {
      aChannel.Reset();
      target->Reset();
      return;
    }
    for (int i = 0; i < 2; ++i) {
      if (ends[i].fd < 0 || (ends[i].revents & (POLLIN | POLLHUP)) == 0) {
        continue;
      }
      if (!Pass(i == 0, generation)) {
        continue;
      }
      const bool drips = mFault == LinkFault::Drip;
      const ssize_t n =
        recv(ends[i].fd, buf.data(), drips ? kDripBytes : buf.size(), 0);
      if (n < 0) {
        channels[1 - i]->Reset();
        return;
      }
      if (n == 0) {
        channels[1 - i]->HalfClose();
        ends[i].fd = -1;
        --open;
      } else if (!channels[1 - i]->Send(
                   { buf.data(), static_cast<std::size_t>(n) })) {
        channels[i]->Reset();
        return;
      }
    }
  }
}

bool
LinkProxy::Pass(bool aIsForward, int aGeneration) const
{
  const LinkFault fault = mFault;
  if (fault == LinkFault::Silence || fault == LinkFault::Cut ||
      fault == (aIsForward ? LinkFault::CutForward : LinkFault::CutBack)) {
    SleepMs(kTickMs);
    return false;
  }
  if (fault == LinkFault::Delay) {
    SleepMs(kDelayMs);
  } else if (fault == LinkFault::Drip) {
    SleepMs(1);
  }
  return mGeneration == aGeneration;
}

} // namespace cactusgw::soak
