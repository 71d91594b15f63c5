#ifndef CACTUSGW_MESSAGING_ENVELOPE_HPP
#define CACTUSGW_MESSAGING_ENVELOPE_HPP

/// Envelopes: the frame of every message between cactusgw processes.

#include "cactusgw/core/verdict.hpp"
#include "cactusgw/wire/cactusgw.pb.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusgw {

class EventRecorder;

/// Version of the protocol between processes; others are refused.
inline constexpr std::uint32_t kProtocolVersion = 1;

/// Fills in the frame of outgoing messages and checks incoming ones.
class EnvelopeCodec
{
public:
  EnvelopeCodec(std::string aVm,
                std::uint64_t aIncarnation,
                EventRecorder& aRecorder);

  /// Adds sender, version and stamp, and serializes.
  std::string Encode(wire::Envelope& aEnvelope);

  /// Errors: InvalidInput for malformed messages and foreign versions.
  Result<wire::Envelope> Decode(std::string_view aPayload);

  std::uint64_t Refused() const { return mRefused; }

private:
  Failure Refuse(std::string_view aReason);

  std::string mVm;
  std::uint64_t mIncarnation;
  EventRecorder& mRecorder;
  std::uint64_t mRefused = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_MESSAGING_ENVELOPE_HPP
