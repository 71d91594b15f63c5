#ifndef CACTUSGW_TESTS_SOAK_SOAK_CLIENT_HPP
#define CACTUSGW_TESTS_SOAK_SOAK_CLIENT_HPP

/// A client that sends one request after another, keeps connections for as
/// long as the gateway does, and leaves now and then. Its choices follow from
/// its seed.

#include "channel.hpp"
#include "ledger.hpp"
#include "work.hpp"

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cactusgw::soak {

struct ClientOptions
{
  unsigned mSeed = 1;
  int mNumber = 0;
  /// Ports of the gateways, by number.
  std::vector<int> mFronts;
  /// Bodies and answers of up to 4 MB are sent too.
  bool mHasLargeBodies = true;
  /// Longest usual pause between two requests; some are 50 times as long.
  int mPauseMs = 30;
};

class SoakClient
{
public:
  SoakClient(Ledger& aLedger,
             ClientOptions aOptions,
             const std::atomic<bool>& aIsOver);
  /// Returns when the run is over.
  void Run();

private:
  struct Plan
  {
    Sent mSent;
    Work mWork;
    std::string mPrefix;
    std::string mMethod = "POST";
    std::size_t mBodyBytes = 0;
    long mBudgetMs = 0;
    bool mIsChunked = false;
    /// The body in pieces with this pause; zero: at once.
    long mDripMs = 0;
    long mReadPauseMs = 0;
    /// When the client leaves, after the begin of the request; negative: it
    /// stays.
    long mLeavesAfterMs = -1;
    /// The client leaves in the middle of its own request.
    bool mLeavesWhileSending = false;
    int mLeaveKind = 0;
  };

  Plan MakePlan();
  void PlanKind(Plan& aPlan);
  void PlanTrouble(Plan& aPlan);
  void RunPlan(Plan& aPlan);
  bool SendRequest(Plan& aPlan);
  void ReadAnswer(Plan& aPlan);
  void Leave(Plan& aPlan);
  /// What is wrong with a response to the plan's request.
  std::string DefectOf(const Plan& aPlan, const Message& aAnswer) const;
  int Random(int aBelow);
  std::size_t Below(int aBelow);

  Ledger& mLedger;
  ClientOptions mOptions;
  const std::atomic<bool>& mIsOver;
  std::mt19937 mRandom;
  std::unique_ptr<Channel> mChannel;
  int mGateway = 0;
  bool mIsKept = false;
  int mRequests = 0;
};

} // namespace cactusgw::soak

#endif // CACTUSGW_TESTS_SOAK_SOAK_CLIENT_HPP
