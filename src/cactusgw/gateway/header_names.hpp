#ifndef CACTUSGW_GATEWAY_HEADER_NAMES_HPP
#define CACTUSGW_GATEWAY_HEADER_NAMES_HPP

/// Names of the headers that a gateway shares with callers and upstreams. The
/// environment that a gateway runs in provides them.

#include <string>
#include <vector>

namespace cactusgw {

struct HeaderNames
{
  std::string mRequestId;
  /// Time that the sender will go on waiting, in milliseconds.
  std::string mRemainingTime;
  /// Id of the upstream that the request is meant for.
  std::string mExpectedUpstream;
  /// Name of the workspace that the caller's key belongs to.
  std::string mWorkspace;
  /// Set by an upstream that did not run the request.
  std::string mNotRun;
  /// Proof that an answer is the upstream's.
  std::string mSeal;
  /// Prompt tokens and most output tokens, separated by a comma.
  std::string mTokenCounts;
  /// The caller's estimate of the output's tokens.
  std::string mLengthHint;
  /// Id of the last event that the receiver of a stream has.
  std::string mLastEventId;
  /// Address and handle of a moved generation to continue.
  std::string mMigratedFrom;
  /// Only the gateway may set these: what callers send is dropped.
  std::vector<std::string> mReserved;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_HEADER_NAMES_HPP
