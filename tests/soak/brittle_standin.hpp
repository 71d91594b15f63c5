#ifndef CACTUSGW_TESTS_SOAK_BRITTLE_STANDIN_HPP
#define CACTUSGW_TESTS_SOAK_BRITTLE_STANDIN_HPP

/// An upstream with few slots that falls over when it has to turn too many
/// requests away, and is back after a while. Thread-safe.

#include "channel.hpp"
#include "store_standin.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <set>
#include <string>

namespace cactusgw::soak {

struct BrittleOptions
{
  int mSlots = 6;
  long mWorkMs = 100;
  /// Requests that wait for a slot: in sound times and while few may.
  int mWaiting = 12;
  int mFewWaiting = 1;
  /// Requests that it may turn away within a second.
  int mBearable = 5;
  long mAwayMs = 3000;
};

struct BrittleCounts
{
  int mServed = 0;
  int mTurnedAway = 0;
  int mFalls = 0;
};

class BrittleStandin
{
public:
  BrittleStandin(StoreStandin& aStore,
                 std::string aName,
                 std::string aService,
                 const BrittleOptions& aOptions);

  /// From now on it says that it is brittle, or no longer.
  void SetStating(bool aIsStating) { mIsStating = aIsStating; }
  /// From now on few requests may wait and it may fall, or no longer.
  void SetBrittle(bool aIsBrittle) { mIsBrittle = aIsBrittle; }
  BrittleCounts Counts() const;

private:
  void Serve(Channel& aChannel);
  /// Whether the connection is kept.
  bool Answer(const Message& aRequest, Channel& aChannel);
  /// Counts a request that is turned away; whether that makes it fall.
  bool FallsWith(long aNowMs);
  void Fall();
  void Register();

  StoreStandin& mStore;
  std::string mName;
  std::string mService;
  BrittleOptions mOptions;
  std::atomic<bool> mIsStating{ false };
  std::atomic<bool> mIsBrittle{ false };
  mutable std::mutex mMutex;
  std::condition_variable mFreed;
  std::int64_t mBorn = 1'780'000'000'000;
  int mBoot = 0;
  bool mIsAway = false;
  int mRunning = 0;
  int mWaiting = 0;
  std::deque<long> mTurnedAwayAt;
  std::set<Channel*> mChannels;
  BrittleCounts mCounts;
  Listener mListener;
};

} // namespace cactusgw::soak

#endif // CACTUSGW_TESTS_SOAK_BRITTLE_STANDIN_HPP
