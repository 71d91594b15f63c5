#ifndef CACTUSGW_AGENT_PLATFORM_SYNC_HPP
#define CACTUSGW_AGENT_PLATFORM_SYNC_HPP

/// Keeps an agent in step with the platform: the data centre's lease, the
/// ownership plan, the configuration and drain orders.

#include "cactusgw/agent/agent_state.hpp"
#include "cactusgw/interfaces/platform_client.hpp"
#include "cactusgw/telemetry/log.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <random>
#include <string>

namespace cactusgw {

/// What the agent does when the lease changes hands.
struct LeaseEvents
{
  std::function<void()> mOnTaken;
  std::function<void()> mOnLost;
};

/// Not thread-safe; lives on one io_context. Runs until the state stops.
template<PlatformClient Client>
class PlatformSync
{
public:
  /// How long a watch waits for a change.
  static constexpr Milliseconds kWatchTime{ 8000 };
  /// The same when it is used to read what there is.
  static constexpr Milliseconds kReadAllTime{ 1 };
  /// VMs of a data centre that hold a watch, besides the lease holder.
  static constexpr std::size_t kWatchers = 2;
  /// Pause between two looks at the lease while it is held or followed.
  static constexpr Milliseconds kLeasePause{ 200 };
  /// Pause between two reads of a lease whose holder is silent, for the VM of
  /// rank zero; it grows with the rank, so that few VMs read.
  static constexpr Milliseconds kLeaseReadPause{ 1000 };

  PlatformSync(Client& aClient,
               AgentState& aState,
               boost::asio::io_context& aContext,
               LeaseEvents aEvents);

  /// Starts the loops.
  void Start();
  /// Gives up the lease, for a planned stop.
  boost::asio::awaitable<void> Resign();
  /// Writes a drain order to the platform, merged with what is there.
  boost::asio::awaitable<bool> WriteDrains();

private:
  boost::asio::awaitable<void> LeaseLoop();
  boost::asio::awaitable<void> LeaseOnce();
  boost::asio::awaitable<void> ReadLease();
  boost::asio::awaitable<void> WriteLease(LeaseStep aStep);
  void CheckLeaseChange();
  Milliseconds LeasePause() const;

  boost::asio::awaitable<void> OwnershipLoop();
  boost::asio::awaitable<void> PlanOnce();
  boost::asio::awaitable<bool> ReadOwnership(std::string aDataCentre);

  boost::asio::awaitable<void> WatchLoop();
  boost::asio::awaitable<bool> ReadAll();
  std::vector<WatchedKey> WatchedKeys() const;
  bool IsWatcher() const;
  boost::asio::awaitable<void> TakeObject(const StoredObject& aObject);
  boost::asio::awaitable<void> TakeHead(std::string aText);

  boost::asio::awaitable<void> Sleep(Milliseconds aTime);
  void NoteReachable(bool aReachable);
  Milliseconds Jittered(Milliseconds aTime);

  Client& mClient;
  AgentState& mState;
  boost::asio::io_context& mContext;
  LeaseEvents mEvents;
  PartLog mLog;
  std::mt19937_64 mRandom;
  bool mHeld = false;
  Instant mListeningSince;
  bool mOwnershipRead = false;
  std::uint64_t mHeadVersion = 0;
  std::uint64_t mDrainVersion = 0;
};

} // namespace cactusgw

#include "cactusgw/agent/internal/platform_sync_impl.hpp"

#endif // CACTUSGW_AGENT_PLATFORM_SYNC_HPP
