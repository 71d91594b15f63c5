#ifndef CACTUSGW_ENTRY_PLAIN_CALL_HPP
#define CACTUSGW_ENTRY_PLAIN_CALL_HPP

/// Carries one call to a plain service.

#include "cactusgw/entry/entry_context.hpp"
#include "cactusgw/net/http_types.hpp"

#include <string>
#include <vector>

namespace cactusgw {

struct PlainRequest
{
  std::string mService;
  http::verb mMethod = http::verb::get;
  /// Path and query, as the service sees them.
  std::string mTarget;
  std::string mContentType;
  std::string mBody;
};

/// Whether a call with this method may be sent again after an unknown outcome
/// (RFC 9110, section 9.2.2).
bool IsIdempotent(http::verb aMethod);

/// One instance per request; not thread-safe.
class PlainCall
{
public:
  static constexpr int kMaxTries = 3;
  static constexpr std::size_t kMaxAnswerBytes =
    std::size_t{ 16 } * 1024 * 1024;

  PlainCall(EntryContext& aContext, RequestScope aScope, PlainRequest aRequest);

  /// Runs the call to its end.
  Task<Result<HttpResponse>> Run();

private:
  Task<Result<HttpResponse>> RunOnce(bool aIsRetry);
  void EndPermit(const Result<HttpResponse>& aResult);
  bool MayRetry(const Failure& aFailure) const;

  EntryContext& mContext;
  RequestScope mScope;
  PlainRequest mRequest;
  AdmissionPermit mPermit;
  std::vector<std::string> mExcluded;
};

} // namespace cactusgw

#endif // CACTUSGW_ENTRY_PLAIN_CALL_HPP
