#include "cactusgw/messaging/envelope.hpp"

#include "cactusgw/telemetry/recorder.hpp"

#include <utility>

namespace cactusgw {

EnvelopeCodec::EnvelopeCodec(std::string aVm,
                             std::uint64_t aIncarnation,
                             EventRecorder& aRecorder)
  : mVm(std::move(aVm))
  , mIncarnation(aIncarnation)
  , mRecorder(aRecorder)
{
}

std::string
EnvelopeCodec::Encode(wire::Envelope& aEnvelope)
{
  const EventStamp stamp = mRecorder.Tick();
  aEnvelope.set_protocol_version(kProtocolVersion);
  aEnvelope.set_sender_vm(mVm);
  aEnvelope.set_sender_incarnation(mIncarnation);
  aEnvelope.mutable_stamp()->set_physical_ms(stamp.mPhysicalMs);
  aEnvelope.mutable_stamp()->set_logical(stamp.mLogical);
  return aEnvelope.SerializeAsString();
}

Result<wire::Envelope>
EnvelopeCodec::Decode(std::string_view aPayload)
{
  wire::Envelope envelope;
  const int size = static_cast<int>(aPayload.size());
  if (!envelope.ParseFromArray(aPayload.data(), size)) {
    return Refuse("malformed message");
  }
  if (envelope.protocol_version() != kProtocolVersion) {
    return Refuse("foreign protocol version");
  }
  if (envelope.body_case() == wire::Envelope::BODY_NOT_SET) {
    return Refuse("message of unknown kind");
  }
  mRecorder.Observe(
    { envelope.stamp().physical_ms(), envelope.stamp().logical() });
  return envelope;
}

Failure
EnvelopeCodec::Refuse(std::string_view aReason)
{
  ++mRefused;
  mRecorder.Record(EventKind::MessageRefused, "", aReason);
  return NotRun(FailureCode::InvalidInput, std::string{ aReason });
}

} // namespace cactusgw
