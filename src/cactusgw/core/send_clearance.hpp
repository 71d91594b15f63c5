#ifndef CACTUSGW_CORE_SEND_CLEARANCE_HPP
#define CACTUSGW_CORE_SEND_CLEARANCE_HPP

/// Proof that a request, or the state of one, may go to an upstream now.

#include <cstdint>
#include <string>
#include <utility>

namespace cactusgw {

/// One start of an upstream at one address.
struct UpstreamTarget
{
  std::string mId;
  /// `IP:port`.
  std::string mAddress;
  /// Unix time at which the upstream started.
  std::int64_t mStartedMs = 0;

  bool operator==(const UpstreamTarget& aOther) const = default;
};

/// Made by a SendGate only, and taken by everything that sends a request or its
/// state, so that no send can pass the gate by. Use it without waiting: it
/// holds for the moment in which it was made.
class SendClearance
{
public:
  SendClearance(SendClearance&&) = default;
  SendClearance& operator=(SendClearance&&) = default;
  SendClearance(const SendClearance&) = delete;
  SendClearance& operator=(const SendClearance&) = delete;

  const UpstreamTarget& Target() const { return mTarget; }

private:
  friend class SendGate;
  explicit SendClearance(UpstreamTarget aTarget)
    : mTarget(std::move(aTarget))
  {
  }

  UpstreamTarget mTarget;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_SEND_CLEARANCE_HPP
