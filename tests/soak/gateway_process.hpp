#ifndef CACTUSGW_TESTS_SOAK_GATEWAY_PROCESS_HPP
#define CACTUSGW_TESTS_SOAK_GATEWAY_PROCESS_HPP

/// One process of the gateway, which keeps its ports over restarts. Not
/// thread-safe but for Front() and Ready(); the thread that starts a process
/// must live as long as it, since the process ends with that thread.

#include <atomic>
#include <optional>
#include <string>
#include <sys/types.h>

namespace cactusgw::soak {

struct GatewayOptions
{
  std::string mProgram;
  std::string mFolder;
  std::string mName;
  long mDescriptors = 4100;
  /// One of zone-a to zone-d, each of a region of its own. The gateways of a
  /// region read the store through one of them, and see upstreams at the
  /// addresses that it sees.
  std::string mDataCentre = "zone-a";
};

class GatewayProcess
{
public:
  explicit GatewayProcess(GatewayOptions aOptions);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  int Front() const { return mFront; }
  int Ready() const { return mReady; }
  int Metrics() const { return mMetrics; }
  int Peer() const { return mPeer; }
  std::string LogFile() const;
  bool IsRunning() const { return mPid > 0; }

  void SetStorePort(int aPort) { mStorePort = aPort; }
  void WriteSettings() const;
  /// Writes a file that a reload must refuse or survive.
  /// @param aKind any number
  void WriteOddSettings(unsigned aKind) const;
  void Start();
  void Signal(int aSignal) const;
  /// The status of wait() once, when the process has ended.
  std::optional<int> TakeEnding();
  /// Highest memory of the process so far, in bytes; zero if it is gone.
  long PeakBytes() const;

private:
  std::string SettingsFile() const;
  std::string SettingsText() const;

  GatewayOptions mOptions;
  int mStorePort = 0;
  int mFront;
  int mReady;
  int mMetrics;
  int mPeer;
  int mTunnel;
  std::atomic<pid_t> mPid = 0;
};

} // namespace cactusgw::soak

#endif // CACTUSGW_TESTS_SOAK_GATEWAY_PROCESS_HPP
