#ifndef CACTUSGW_TESTS_SOAK_SOAK_RUN_HPP
#define CACTUSGW_TESTS_SOAK_SOAK_RUN_HPP

/// One run: starts the stand-ins, gateways and clients, carries out the
/// schedule and returns what was seen. Only the thread that calls Run() starts
/// processes.

#include "gateway_process.hpp"
#include "ledger.hpp"
#include "link_proxy.hpp"
#include "schedule.hpp"
#include "soak_client.hpp"
#include "store_standin.hpp"
#include "upstream_standin.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cactusgw::soak {

struct RunOptions
{
  unsigned mSeed = 1;
  Profile mProfile = Profile::All;
  long mMs = 30'000;
  int mGateways = 3;
  int mClients = 42;
  long mDescriptors = 4100;
  bool mHasLargeBodies = true;
  int mPauseMs = 30;
  /// Peers reach each other over links that can be harmed.
  bool mHasPeerLinks = true;
  std::string mProgram;
  /// For logs and settings.
  std::string mFolder;
};

class SoakRun
{
public:
  explicit SoakRun(RunOptions aOptions);
  ~SoakRun();
  SoakRun(const SoakRun&) = delete;
  SoakRun& operator=(const SoakRun&) = delete;

  /// False if the system never became ready.
  bool Run();
  Records Seen() { return mLedger.Copy(); }
  const std::vector<Action>& Schedule() const { return mSchedule; }

private:
  struct Member
  {
    std::unique_ptr<GatewayProcess> mProcess;
    std::unique_ptr<LinkProxy> mStoreLink;
    /// Links of the others to this gateway.
    std::vector<std::unique_ptr<LinkProxy>> mPeerLinks;
    std::atomic<long> mStartedMs = -1;
    std::atomic<long> mReadyMs = -1;
    long mTerminatedMs = -1;
    bool mIsKilled = false;
    bool mIsFrozen = false;
    bool mWasFrozen = false;
    /// Negative: not started again.
    long mRestartDelayMs = -1;
    long mRestartAtMs = -1;
    long mPeakBytes = 0;
  };
  struct Later
  {
    long mAtMs = 0;
    std::function<void()> mDo;
  };

  void Connect();
  void StartClients();
  void WatchReady(int aGateway);
  void Start(int aGateway);
  void Tick();
  void Watch(int aGateway);
  void NoteEnding(int aGateway, int aStatus);
  void Apply(const Action& aAction);
  void ApplyToGateway(const Action& aAction);
  void ApplyToUpstream(const Action& aAction);
  void ApplyToLinks(const Action& aAction);
  void ApplyStore(const Action& aAction);
  void PutConfiguration(unsigned aVariant);
  void SendNoise(int aGateway, unsigned aVariant);
  void After(long aMs, std::function<void()> aDo);
  void Note(DisturbanceKind aKind, int aTarget, long aMs);
  void StopAll();

  RunOptions mOptions;
  Ledger mLedger;
  StoreStandin mStore;
  std::vector<std::unique_ptr<UpstreamStandin>> mUpstreams;
  std::vector<std::unique_ptr<Member>> mMembers;
  std::vector<Action> mSchedule;
  std::vector<Later> mLater;
  std::vector<std::thread> mThreads;
  std::atomic<bool> mIsOver = false;
  std::atomic<bool> mIsWatchOver = false;
  int mVersion = 7;
};

} // namespace cactusgw::soak

#endif // CACTUSGW_TESTS_SOAK_SOAK_RUN_HPP
