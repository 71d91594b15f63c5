#include "upstream_standin.hpp"

#include "soak_documents.hpp"

#include <algorithm>
#include <cstdlib>

namespace cactusgw::soak {

namespace {

constexpr long kNever = 1'000'000'000;
constexpr int kPieces = 8;

std::string
LengthField(std::size_t aBytes)
{
  return "Content-Length: " + std::to_string(aBytes) + "\r\n\r\n";
}

std::string
Chunk(std::string_view aText)
{
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", aText.size());
  return size + std::string{ aText } + "\r\n";
}

} // namespace

UpstreamStandin::UpstreamStandin(Ledger& aLedger,
                                 StoreStandin& aStore,
                                 int aNumber,
                                 std::string aService)
  : mLedger(aLedger)
  , mStore(aStore)
  , mNumber(aNumber)
  , mService(std::move(aService))
  , mName("u-" + std::to_string(aNumber))
  , mListener([this](Channel& aChannel) { Serve(aChannel); })
  , mLink(mListener.Port())
{
  Register("ready");
}

void
UpstreamStandin::Register(std::string_view aState)
{
  mStore.Put("servers",
             mName,
             UpstreamText(
               mService, AddressOf(mLink.Port()), aState, mBorn, ++mSequence));
}

void
UpstreamStandin::Leave()
{
  mStore.Delete("servers", mName);
}

void
UpstreamStandin::StartAgain()
{
  ++mBoot;
  mLink.ResetAll();
  mBorn += NowMs() + 1;
  mSequence = 0;
  Register("ready");
}

void
UpstreamStandin::Serve(Channel& aChannel)
{
  while (true) {
    const std::optional<Message> request = aChannel.Read(kNever, false);
    if (!request || !request->mIsWhole) {
      return;
    }
    const std::string expected = request->Header(ExpectedUpstreamName());
    const std::string id = request->Header(RequestIdName());
    const Work work = Work::FromPath(request->Target());
    bool isKept = true;
    if (request->Target() == "/health") {
      isKept = aChannel.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    } else if ((!expected.empty() && expected != mName) ||
               work.mShape == AnswerShape::Misdirected) {
      isKept = aChannel.Send(RefusalText(id, 421));
    } else if (work.mShape == AnswerShape::Refusal) {
      isKept = aChannel.Send(RefusalText(id, 503));
    } else if (id.empty()) {
      isKept = aChannel.Send("HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n");
    } else {
      isKept = Run(*request, id, aChannel);
    }
    if (!isKept) {
      return;
    }
  }
}

bool
UpstreamStandin::Run(const Message& aRequest,
                     const std::string& aId,
                     Channel& aChannel)
{
  const int boot = mBoot;
  soak::Run run;
  run.mUpstream = mNumber;
  run.mBeganMs = NowMs();
  run.mIsAltered =
    aRequest.mBody != BodyOf(aId, aRequest.mBody.size()) ||
    aRequest.Header("X-Body-Bytes") != std::to_string(aRequest.mBody.size());
  const std::size_t number = mLedger.BeginRun(aId, run);
  const Work work = Work::FromPath(aRequest.Target());
  SleepMs(work.mMs);
  const bool isSent = mBoot == boot && Answer(aRequest, aId, work, aChannel);
  const bool hasBrokenOff =
    mBoot != boot || work.mShape == AnswerShape::ResetMidway;
  mLedger.EndRun(aId, number, hasBrokenOff);
  if (hasBrokenOff) {
    aChannel.Reset();
  }
  return isSent && !hasBrokenOff && work.mShape != AnswerShape::UntilClose;
}

bool
UpstreamStandin::Answer(const Message& aRequest,
                        const std::string& aId,
                        const Work& aWork,
                        Channel& aChannel) const
{
  if (aWork.mEvents > 0) {
    return SendStream(aRequest, aId, aWork, aChannel);
  }
  const std::string header = AnswerHeader(aId, 200);
  const std::string body = BodyOf(aId, aWork.mBytes);
  switch (aWork.mShape) {
    case AnswerShape::Chunks:
      return aChannel.Send(header + "Transfer-Encoding: chunked\r\n\r\n" +
                           Chunk(body) + "0\r\n\r\n");
    case AnswerShape::UntilClose:
      return aChannel.Send(header + "Connection: close\r\n\r\n" + body);
    case AnswerShape::ResetMidway:
      return aChannel.Send(header + LengthField(body.size()) +
                           body.substr(0, body.size() / 2));
    case AnswerShape::Drip: {
      bool isSent = aChannel.Send(header + LengthField(body.size()));
      const std::size_t piece = body.size() / kPieces + 1;
      for (std::size_t at = 0; isSent && at < body.size(); at += piece) {
        SleepMs(aWork.mGapMs);
        isSent = aChannel.Send(std::string_view{ body }.substr(at, piece));
      }
      return isSent;
    }
    default:
      return aChannel.Send(header + LengthField(body.size()) + body);
  }
}

bool
UpstreamStandin::SendStream(const Message& aRequest,
                            const std::string& aId,
                            const Work& aWork,
                            Channel& aChannel)
{
  bool isSent = aChannel.Send(AnswerHeader(aId, 200) +
                              "Content-Type: text/event-stream\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n");
  const int last = std::atoi(aRequest.Header("Last-Event-Id").c_str());
  for (int i = last + 1; isSent && i <= aWork.mEvents; ++i) {
    isSent = aChannel.Send(Chunk(EventOf(aId, i, aWork.mEvents)));
    SleepMs(aWork.mGapMs);
    if (aWork.mShape == AnswerShape::ResetMidway && i >= aWork.mEvents / 2) {
      return false;
    }
  }
  return isSent && aChannel.Send("0\r\n\r\n");
}

} // namespace cactusgw::soak
