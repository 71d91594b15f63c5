#ifndef CACTUSGW_CORE_CHECKED_ADDRESS_HPP
#define CACTUSGW_CORE_CHECKED_ADDRESS_HPP

/// An address to which a request may be sent only after a check, made at the
/// moment of the send.

#include "cactusgw/core/verdict.hpp"

#include <functional>
#include <string>
#include <utility>

namespace cactusgw {

/// Connecting takes time in which the result of the check may change. Whoever
/// sends to the address therefore connects first, calls Check(), and waits for
/// nothing between a check that passes and the send.
class CheckedAddress
{
public:
  /// Errors: NotRun.
  using CheckFunction = std::function<Result<void>()>;

  /// An address to which nothing may be sent.
  CheckedAddress() = default;

  CheckedAddress(std::string aAddress, CheckFunction aCheck)
    : mAddress(std::move(aAddress))
    , mCheck(std::move(aCheck))
  {
  }

  Result<void> Check() const
  {
    if (!mCheck) {
      return NotRun(FailureCode::Internal, "sending to no address");
    }
    return mCheck();
  }

  /// For connecting, and for messages without content of the request.
  const std::string& WithoutCheck() const { return mAddress; }

private:
  std::string mAddress;
  CheckFunction mCheck;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_CHECKED_ADDRESS_HPP
