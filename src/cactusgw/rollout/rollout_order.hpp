#ifndef CACTUSGW_ROLLOUT_ROLLOUT_ORDER_HPP
#define CACTUSGW_ROLLOUT_ROLLOUT_ORDER_HPP

/// An operator's order to move a service's requests to another version of its
/// upstreams, and how far it has come.

#include "cactusgw/core/verdict.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace cactusgw {

/// Identifies one order. The same service and target may be ordered again.
struct RolloutId
{
  std::string mService;
  /// The version that is to serve all requests.
  std::string mTarget;
  /// The number that the store gave to the order when it was created.
  std::uint64_t mOrder = 0;

  auto operator<=>(const RolloutId&) const = default;
};

struct RolloutOrder
{
  RolloutId mId;
  /// Time in which the operator expects the order to be completed.
  Milliseconds mDuration{ 0 };
};

/// Stages in the order in which they follow each other. The values are stored
/// and sent between gateways, and must not change.
enum class RolloutStage : std::uint8_t
{
  /// A small share of the requests shows whether the target is sound.
  Observing = 0,
  /// A quarter, a half, and all of the requests go to the target.
  Quarter = 1,
  Half = 2,
  All = 3,
  /// Nothing runs on other versions any more.
  Drained = 4,
  Completed = 5,
  RolledBack = 6,
};

/// The order of a service as the store has it.
struct StoredRollout
{
  RolloutOrder mOrder;
  /// Revision of the object; the condition of a write.
  std::uint64_t mRevision = 0;
  /// The stage that gateways have stored; empty if none for this target.
  std::optional<RolloutStage> mStage;
};

/// Which upstreams of a service get a request.
enum class RolloutSide
{
  Target,
  OtherVersions,
};

} // namespace cactusgw

#endif // CACTUSGW_ROLLOUT_ROLLOUT_ORDER_HPP
