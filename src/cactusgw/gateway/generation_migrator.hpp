#ifndef CACTUSGW_GATEWAY_GENERATION_MIGRATOR_HPP
#define CACTUSGW_GATEWAY_GENERATION_MIGRATOR_HPP

/// Live migration of generations away from draining upstreams. The memory of
/// a generation is copied while it runs. Then the generation is stopped, the
/// remainder is copied, and its call continues the stream at the target.

#include "cactusgw/gateway/drain_notices.hpp"
#include "cactusgw/gateway/migratable_generation.hpp"
#include "cactusgw/interfaces/generation_control.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cactusgw {

class GatewayState;

/// Not thread-safe; all calls must be made on one io_context.
class GenerationMigrator
{
public:
  /// Called when an upstream's own report says that it is draining.
  using DrainHandler = std::function<void(const DrainingUpstream&)>;

  GenerationMigrator(net::io_context& aContext,
                     GatewayState& aState,
                     GenerationControl aControl,
                     DrainHandler aOnDraining);

  /// Registers a generation that has started at its upstream.
  void Add(const std::shared_ptr<MigratableGeneration>& aGeneration);
  /// Starts to migrate all running generations of a draining upstream.
  void OnDraining(const std::string& aUpstream);
  /// While the watch of upstreams gets no response from the store, polls the
  /// upstreams that have generations for whether they are draining. Never
  /// returns.
  Task<void> PollWhileWatchIsDown();
  /// Stops a generation whose backup is to continue it; returns at once. The
  /// order makes sure that the source doesn't go on, also if only its
  /// connection has broken.
  void StopForBackup(const std::shared_ptr<MigratableGeneration>& aGeneration);
  /// Frees a copy from which no call will continue.
  void Free(const Continuation& aContinuation);

private:
  using Generations = std::vector<std::shared_ptr<MigratableGeneration>>;

  Generations TakeRunning(const std::string& aUpstream);
  Task<void> MigrateAll(Generations aGenerations);
  /// Waits until other gateways have made the migrations from this upstream
  /// that precede those of this gateway, within a time limit.
  Task<void> WaitForEarlierMigrations(std::string aUpstream,
                                      std::string aService);
  /// Returns false when the migration should be retried after a short delay.
  Task<bool> Migrate(const std::shared_ptr<MigratableGeneration>& aGeneration);
  Task<void> StopAtSource(std::shared_ptr<MigratableGeneration> aGeneration,
                          KnownUpstream aTarget);
  /// Returns the upstream that holds the backup, if it may continue.
  const KnownUpstream* UsableBackup(
    const MigratableGeneration& aGeneration) const;
  Task<CopyOutcome> StopAndCopy(
    const std::shared_ptr<MigratableGeneration>& aGeneration,
    KnownUpstream aTarget);
  /// The upstream that runs the generation, for an order to copy it to the
  /// target. The check is made when the source can be reached.
  CheckedAddress SourceOf(const GenerationIdentity& aIdentity,
                          const KnownUpstream& aTarget) const;
  /// Clears a copy of the generation's state to the target.
  Result<SendClearance> Clear(const GenerationIdentity& aIdentity,
                              const KnownUpstream& aTarget) const;
  /// Longest time to wait for the migrations of other gateways that precede
  /// those of this one.
  Milliseconds EarlierMigrationsTime(const std::string& aUpstream,
                                     const std::string& aService) const;
  void PollUpstreams();
  Task<void> PollUpstream(UpstreamRecord aUpstream);
  const KnownUpstream* ChooseTarget(const GenerationIdentity& aIdentity) const;
  void Log(std::string_view aEvent,
           const GenerationIdentity& aIdentity,
           std::string_view aTarget,
           std::string_view aOutcome,
           Instant aBegun) const;

  net::io_context& mContext;
  GatewayState& mState;
  GenerationControl mControl;
  DrainHandler mOnDraining;
  std::map<std::string, std::vector<std::weak_ptr<MigratableGeneration>>>
    mGenerations;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_GENERATION_MIGRATOR_HPP
