#ifndef CACTUSGW_TESTS_SOAK_LINK_PROXY_HPP
#define CACTUSGW_TESTS_SOAK_LINK_PROXY_HPP

/// A TCP link that can be harmed: forwards each connection to a port.

#include "channel.hpp"

#include <atomic>

namespace cactusgw::soak {

enum class LinkFault
{
  None,
  /// Each piece waits for 200 ms.
  Delay,
  /// Nothing passes towards the target.
  CutForward,
  /// Nothing passes from the target.
  CutBack,
  Silence,
  /// A few bytes at a time.
  Drip,
  /// New connections are reset.
  Reset,
  /// New connections are never established.
  HangNew,
  /// Nothing passes, and new connections are never established.
  Cut,
};

class LinkProxy
{
public:
  explicit LinkProxy(int aTarget);
  int Port() const { return mListener.Port(); }
  void SetFault(LinkFault aFault);
  /// Resets the connections that are open.
  void ResetAll() { ++mGeneration; }

private:
  void Serve(Channel& aChannel) const;
  /// Waits while nothing passes; false if the connection is to be reset.
  bool Pass(bool aIsForward, int aGeneration) const;

  int mTarget;
  std::atomic<LinkFault> mFault = LinkFault::None;
  std::atomic<int> mGeneration = 0;
  Listener mListener;
};

} // namespace cactusgw::soak

#endif // CACTUSGW_TESTS_SOAK_LINK_PROXY_HPP
