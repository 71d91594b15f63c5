#ifndef CACTUSGW_GATEWAY_LOAD_CHANGES_HPP
#define CACTUSGW_GATEWAY_LOAD_CHANGES_HPP

/// Sends loads to another gateway as changes since the message before, so that
/// the size of a message follows the rate of changes rather than the number of
/// upstreams. The whole is repeated once in a while, which makes up for lost
/// messages.

#include "cactusgw/core/verdict.hpp"
#include "cactusgw/gateway/upstream_load.hpp"

#include <cstdint>
#include <optional>

namespace cactusgw {

/// One message's figures.
struct LoadUpdate
{
  /// Whether the entries replace all others. Otherwise they replace only those
  /// of the same upstreams; an entry without load removes one.
  bool mIsWhole = false;
  std::uint64_t mSequence = 0;
  AggregatedLoads mEntries;
};

/// The loads as one receiver knows them. Not thread-safe. Time is passed in.
class LoadSender
{
public:
  /// @param aWholeInterval interval between two messages with all figures
  static LoadSender Create(Milliseconds aWholeInterval)
  {
    return LoadSender{ aWholeInterval };
  }

  /// Makes the next message the whole.
  void Restart() { mWholeAt.reset(); }
  /// Returns the next update, or nullopt if nothing has changed and the whole
  /// is not due.
  std::optional<LoadUpdate> Next(const AggregatedLoads& aLoads, Instant aNow);

private:
  explicit LoadSender(Milliseconds aWholeInterval)
    : mWholeInterval(aWholeInterval)
  {
  }

  Milliseconds mWholeInterval;
  std::optional<Instant> mWholeAt;
  std::uint64_t mSequence = 0;
  AggregatedLoads mSent;
};

/// The loads that one sender has reported. Not thread-safe.
class LoadReceiver
{
public:
  /// @param aIncarnation the start of the sender that the update is from
  /// @return whether Loads() now holds the sender's loads. Otherwise a message
  ///         was lost, and the next whole update is needed.
  bool Apply(LoadUpdate aUpdate, std::uint64_t aIncarnation);
  const AggregatedLoads& Loads() const { return mLoads; }

private:
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
  bool mIsCurrent = false;
  AggregatedLoads mLoads;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_LOAD_CHANGES_HPP
