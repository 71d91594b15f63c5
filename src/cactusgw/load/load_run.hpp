#ifndef CACTUSGW_LOAD_LOAD_RUN_HPP
#define CACTUSGW_LOAD_LOAD_RUN_HPP

/// Sends requests and checks every answer.

#include "cactusgw/load/load_plan.hpp"
#include "cactusgw/load/load_report.hpp"
#include "cactusgw/load/stream_check.hpp"
#include "cactusgw/net/http_types.hpp"

#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

namespace cactusgw {

struct LoadSettings
{
  /// Entries, used in turn.
  std::vector<std::string> mTargets;
  /// Keys of workspaces, drawn at random.
  std::vector<std::string> mKeys;
  std::string mModel;
  std::uint64_t mRequests = 1;
  /// Closed loop: requests in flight at once.
  std::uint32_t mConcurrency = 1;
  /// Open loop: requests a second; zero for the closed loop.
  double mRate = 0;
  LengthPlan mLengths;
  std::uint64_t mSeed = 1;
  /// Bytes of filler in each prompt.
  std::uint32_t mPromptBytes = 64;
  /// Engines to ask for preemptions and overloads.
  std::vector<std::string> mEngines;
  /// Writes each token to standard output as it arrives.
  bool mPrint = false;
  /// Sends to engines themselves, as the baseline without the system.
  bool mDirect = false;
};

/// Not thread-safe; lives on one io_context.
class LoadRun
{
public:
  LoadRun(boost::asio::io_context& aContext, LoadSettings aSettings);

  /// Runs all requests to their end.
  Task<LoadReport> Run();

private:
  struct EngineTotals
  {
    std::uint64_t mPreemptions = 0;
    std::uint64_t mOverloads = 0;
  };

  Task<void> RunClosed();
  Task<void> RunOpen();
  Task<void> Worker();
  Task<void> RunOne(std::uint64_t aIndex);
  Task<void> ReadAnswer(std::string aTarget,
                        HttpRequest aRequest,
                        std::uint32_t aLength);
  HttpRequest MakeRequest(std::uint64_t aIndex, std::uint32_t aLength);
  void CountRefusal(unsigned aStatus, const std::string& aVerdict);
  void CountEnd(const StreamCheck& aCheck, bool aWasCut);
  Task<EngineTotals> ReadEngines();

  boost::asio::io_context& mContext;
  LoadSettings mSettings;
  LoadDraws mDraws;
  LoadReport mReport;
  std::uint64_t mNextRequest = 0;
  std::size_t mRunning = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_LOAD_LOAD_RUN_HPP
