#ifndef CACTUSGW_MESSAGING_CRASH_MESSAGES_HPP
#define CACTUSGW_MESSAGING_CRASH_MESSAGES_HPP

/// Evidence of crashes in messages between processes. Times travel as ages, as
/// the processes have clocks of their own.

#include "cactusgw/core/crash_evidence.hpp"
#include "cactusgw/core/request_crashes.hpp"
#include "cactusgw/wire/cactusgw.pb.h"

#include <cstddef>
#include <cstdint>

namespace cactusgw {

/// Age of a time in milliseconds; zero if it lies ahead.
std::uint64_t EncodeAge(Instant aThen, Instant aNow);

/// Ages beyond CrashEvidence::kMaxAge are cut to it, so that no sum overflows.
Milliseconds DecodeAge(std::uint64_t aMs);

/// Bound of the encoded evidence, which is sent in one message with the loads.
inline constexpr std::size_t kMaxCrashReportBytes = std::size_t{ 128 } * 1024;

/// Writes what the evidence holds, the newest crashes first, up to
/// kMaxCrashReportBytes.
void EncodeCrashReports(const CrashEvidence& aEvidence,
                        Instant aNow,
                        wire::CrashReports& aMessage);

/// Adds what a message holds to the evidence.
void MergeCrashReports(const wire::CrashReports& aMessage,
                       Instant aNow,
                       CrashEvidence& aEvidence);

void EncodeSuspicion(const RequestSuspicion& aSuspicion,
                     Instant aNow,
                     wire::RequestSuspicion& aMessage);
RequestSuspicion DecodeSuspicion(const wire::RequestSuspicion& aMessage,
                                 Instant aNow);

} // namespace cactusgw

#endif // CACTUSGW_MESSAGING_CRASH_MESSAGES_HPP
