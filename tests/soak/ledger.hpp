#ifndef CACTUSGW_TESTS_SOAK_LEDGER_HPP
#define CACTUSGW_TESTS_SOAK_LEDGER_HPP

/// What clients, upstreams and the operator have seen. Thread-safe.

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cactusgw::soak {

enum class RequestKind
{
  Idempotent,
  AtMostOnce,
  Stream,
  ResumableStream,
};

/// Whether a request of the kind may run once at most.
bool RunsAtMostOnce(RequestKind aKind);

/// One run at an upstream. Times are milliseconds; negative: not yet.
struct Run
{
  int mUpstream = 0;
  long mBeganMs = 0;
  long mEndedMs = -1;
  /// The upstream itself ended its answer early.
  bool mHasBrokenOff = false;
  /// The request arrived changed.
  bool mIsAltered = false;
};

/// One request of a client. Times are milliseconds; negative: not yet.
struct Sent
{
  std::string mId;
  RequestKind mKind = RequestKind::Idempotent;
  int mGateway = 0;
  /// A response was received before on the same connection.
  bool mIsKept = false;
  long mBeganMs = 0;
  /// When the last byte was sent.
  long mWholeMs = -1;
  /// The smaller of the client's budget and the route's time.
  long mTimeMs = 0;
  /// When the response or the connection ended for the client.
  long mEndedMs = -1;
  /// The client left by itself, or its patience ended.
  bool mHasLeft = false;
  /// Status of the response; zero if no header was received.
  int mStatus = 0;
  bool mIsWhole = false;
  /// What is wrong with the response; empty if nothing is.
  std::string mDefect;
  std::vector<Run> mRuns;
};

enum class DisturbanceKind
{
  Terminate,
  Reload,
  Configuration,
  Kill,
  Freeze,
  GatewayLink,
  UpstreamLink,
  UpstreamGone,
  Store,
  Noise,
};

/// Something that was done to the system.
struct Disturbance
{
  DisturbanceKind mKind = DisturbanceKind::Reload;
  /// Gateway or upstream, as the kind says; negative: all.
  int mTarget = -1;
  long mBeginMs = 0;
  long mEndMs = 0;
};

struct Ending
{
  int mGateway = 0;
  long mAtMs = 0;
  /// As of wait().
  int mStatus = 0;
  /// When SIGTERM was sent to this process; negative: never.
  long mTerminatedMs = -1;
  bool mWasKilled = false;
  /// The process was suspended while it was stopping.
  bool mWasFrozen = false;
};

struct Peak
{
  int mGateway = 0;
  long mBytes = 0;
};

struct Start
{
  int mGateway = 0;
  long mAtMs = 0;
  /// Negative: never.
  long mReadyMs = -1;
  /// When the process was ended, or the run was over.
  long mUntilMs = 0;
};

struct Records
{
  std::map<std::string, Sent> mSent;
  std::vector<Disturbance> mDisturbances;
  std::vector<Ending> mEndings;
  std::vector<Peak> mPeaks;
  std::vector<Start> mStarts;
  /// Ids that ran and that no client sent.
  std::vector<std::string> mUnasked;
};

class Ledger
{
public:
  void Begin(const Sent& aSent);
  /// Keeps the runs that are known already.
  void End(const Sent& aSent);
  /// Returns the number of the run.
  std::size_t BeginRun(const std::string& aId, const Run& aRun);
  void EndRun(const std::string& aId, std::size_t aRun, bool aHasBrokenOff);
  void Add(const Disturbance& aDisturbance);
  void Add(const Ending& aEnding);
  void Add(const Peak& aPeak);
  void Add(const Start& aStart);
  Records Copy();

private:
  std::mutex mMutex;
  Records mRecords;
};

} // namespace cactusgw::soak

#endif // CACTUSGW_TESTS_SOAK_LEDGER_HPP
