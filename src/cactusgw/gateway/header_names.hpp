#ifndef CACTUSGW_GATEWAY_HEADER_NAMES_HPP
#define CACTUSGW_GATEWAY_HEADER_NAMES_HPP

/// Names of the headers that a gateway exchanges with clients and upstreams.
/// The platform that the gateway runs on defines them.

#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// Value of the header HeaderNames::mDraining.
inline constexpr std::string_view kStatedDraining = "1";

struct HeaderNames
{
  std::string mRequestId;
  /// Time in milliseconds that the sender will still wait.
  std::string mRemainingTime;
  /// Id of the upstream that the request is intended for.
  std::string mExpectedUpstream;
  /// Name of the workspace that the client's key belongs to.
  std::string mWorkspace;
  /// Set by an upstream that did not run the request.
  std::string mNotRun;
  /// Requests per second, a decimal number, that the upstream takes from all
  /// gateways together.
  std::string mRateLimit;
  /// Requests, a whole number, that an upstream may turn away within a second
  /// without falling over. In every response while upstreams are brittle.
  std::string mBrittle;
  /// Set to kStatedDraining in every response of an upstream that is draining.
  std::string mDraining;
  /// Set by the upstream; a successful response without it isn't accepted as
  /// the upstream's.
  std::string mSeal;
  /// Number of prompt tokens and maximum number of output tokens, separated by
  /// a comma.
  std::string mTokenCounts;
  /// What the prompt is made of: `ID:TOKENS` for each part, with commas
  /// between.
  std::string mPromptParts;
  /// The client's estimate of the number of output tokens.
  std::string mLengthHint;
  /// Id of the last event that the receiver of a stream has received.
  std::string mLastEventId;
  /// Id of the request that received the first event of the stream that the
  /// client resumes.
  std::string mResumes;
  /// Address and handle of a migrated generation that is to be continued.
  std::string mMigratedFrom;
  /// Address of the upstream that the generation's memory is replicated to.
  std::string mBackupTo;
  /// Headers that only the gateway may set. They are removed from clients'
  /// requests.
  std::vector<std::string> mReserved;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_HEADER_NAMES_HPP
