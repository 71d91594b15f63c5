#ifndef CACTUSGW_ENTRY_KEY_GUARD_HPP
#define CACTUSGW_ENTRY_KEY_GUARD_HPP

/// Runs a request that carries an idempotency key at most once.

#include "cactusgw/entry/entry_context.hpp"
#include "cactusgw/net/http_types.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace cactusgw {

/// What a claim decided.
struct KeyDecision
{
  /// Set when the request must not be run: the answer to give instead.
  std::optional<HttpResponse> mAnswer;
};

/// One instance per request; not thread-safe.
class KeyGuard
{
public:
  /// @param aFingerprint hash of all that makes two requests the same
  KeyGuard(EntryContext& aContext,
           const RequestScope& aScope,
           std::uint64_t aFingerprint);

  /// Claims the key. Without a key there is nothing to claim.
  Task<KeyDecision> Claim();

  /// Records the answer of a request that ran.
  void Finish(const HttpResponse& aResponse);
  /// Frees the key when the request did not run; otherwise it stays claimed.
  void Fail(const Failure& aFailure);

private:
  wire::KeyResult MakeResult() const;

  EntryContext& mContext;
  const RequestScope& mScope;
  std::uint64_t mFingerprint;
  bool mClaimed = false;
};

} // namespace cactusgw

#endif // CACTUSGW_ENTRY_KEY_GUARD_HPP
