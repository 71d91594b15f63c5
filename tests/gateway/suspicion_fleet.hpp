#ifndef CACTUSGW_TESTS_GATEWAY_SUSPICION_FLEET_HPP
#define CACTUSGW_TESTS_GATEWAY_SUSPICION_FLEET_HPP

#include "cactusgw/gateway/suspicion_sender.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

namespace cactusgw::test {

/// The virtual time so many milliseconds after the start of a test.
Instant FleetTime(std::int64_t aMs);

struct NetworkFaults
{
  double mLoss = 0;
  double mRepeat = 0;
  std::int64_t mMaxDelayMs = 20;
};

/// Gateways in a tree that exchange suspicions over an unreliable network, in
/// virtual time.
class SuspicionFleet
{
public:
  static constexpr RequestFingerprint kDeadly{ 7 };
  static constexpr RequestFingerprint kSound{ 8 };
  static constexpr std::int64_t kStepMs = 25;

  SuspicionFleet(std::size_t aGateways, NetworkFaults aFaults, unsigned aSeed);

  /// Sends the request from a gateway, unless it holds the request back; it is
  /// served or crashes the upstream at once.
  void Send(std::size_t aGateway, RequestFingerprint aRequest, bool aCrashes);
  void Restart(std::size_t aGateway);
  void Run(std::int64_t aMs);

  std::size_t Sends(RequestFingerprint aRequest)
  {
    return mSends[aRequest.mValue];
  }
  RequestCrashes& Gateway(std::size_t aAt) { return *mGateways[aAt]; }
  std::size_t Size() const { return mGateways.size(); }
  std::int64_t Now() const { return mNow; }

private:
  struct Message
  {
    std::size_t mFrom = 0;
    std::size_t mTo = 0;
    std::int64_t mSentMs = 0;
    std::uint64_t mDigest = 0;
    std::vector<RequestSuspicion> mSuspicions;
  };

  static std::size_t ParentOf(std::size_t aGateway);
  void SetPlace(std::size_t aGateway);
  void Exchange(std::size_t aFrom, std::size_t aTo);
  void Deliver();

  std::size_t mCount;
  NetworkFaults mFaults;
  std::mt19937 mRandom;
  std::vector<std::unique_ptr<RequestCrashes>> mGateways;
  std::map<std::pair<std::size_t, std::size_t>, SuspicionSender> mSenders;
  std::multimap<std::int64_t, Message> mInFlight;
  std::map<std::uint64_t, std::size_t> mSends;
  std::int64_t mNow = 0;
  std::int64_t mCrashes = 0;
};

} // namespace cactusgw::test

#endif // CACTUSGW_TESTS_GATEWAY_SUSPICION_FLEET_HPP
