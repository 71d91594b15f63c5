#include "soak_client.hpp"

#include "soak_documents.hpp"

#include <algorithm>
#include <strings.h>

namespace cactusgw::soak {

namespace {

constexpr std::size_t kLargeBytes = 4'000'000;
constexpr int kSmallWindow = 16 * 1024;
constexpr int kPieces = 10;
/// How long a client waits beyond its budget.
constexpr long kPatienceMs = 1500;

std::string
ExpectedBody(const std::string& aId, const Work& aWork)
{
  if (aWork.mEvents == 0) {
    return BodyOf(aId, aWork.mBytes);
  }
  std::string body;
  for (int i = 1; i <= aWork.mEvents; ++i) {
    body += EventOf(aId, i, aWork.mEvents);
  }
  return body;
}

std::string
ChunkHeader(std::size_t aBytes)
{
  char text[32];
  std::snprintf(text, sizeof text, "%zx\r\n", aBytes);
  return text;
}

} // namespace

SoakClient::SoakClient(Ledger& aLedger,
                       ClientOptions aOptions,
                       const std::atomic<bool>& aIsOver)
  : mLedger(aLedger)
  , mOptions(std::move(aOptions))
  , mIsOver(aIsOver)
  , mRandom(mOptions.mSeed * 1000 + static_cast<unsigned>(mOptions.mNumber))
{
}

int
SoakClient::Random(int aBelow)
{
  return static_cast<int>(mRandom() % static_cast<unsigned>(aBelow));
}

std::size_t
SoakClient::Below(int aBelow)
{
  return static_cast<std::size_t>(Random(aBelow));
}

void
SoakClient::Run()
{
  while (!mIsOver) {
    if (!mChannel) {
      mIsKept = false;
      mGateway = Random(static_cast<int>(mOptions.mFronts.size()));
      const bool isSlow = mOptions.mNumber % 7 == 3;
      mChannel =
        Channel::Connect(mOptions.mFronts[static_cast<std::size_t>(mGateway)],
                         isSlow ? kSmallWindow : 0);
      if (!mChannel) {
        SleepMs(20);
        continue;
      }
    }
    Plan plan = MakePlan();
    RunPlan(plan);
    SleepMs(Random(8) == 0 ? Random(50 * mOptions.mPauseMs)
                           : Random(mOptions.mPauseMs));
  }
}

SoakClient::Plan
SoakClient::MakePlan()
{
  Plan plan;
  plan.mSent.mId = "c" + std::to_string(mOptions.mNumber) + "-" +
                   std::to_string(mRequests++) + "-x";
  plan.mSent.mGateway = mGateway;
  plan.mSent.mIsKept = mIsKept;
  PlanKind(plan);
  PlanTrouble(plan);
  return plan;
}

void
SoakClient::PlanKind(Plan& aPlan)
{
  const int role = mOptions.mNumber % 7;
  long timeoutMs = 2000;
  aPlan.mWork.mMs = 10 + Random(60);
  aPlan.mWork.mBytes = 20 + Below(3000);
  aPlan.mBodyBytes = 10 + Below(2000);
  if (role == 0 || role == 1) {
    aPlan.mSent.mKind = RequestKind::AtMostOnce;
    aPlan.mPrefix = "/submit/";
    aPlan.mWork.mMs = Random(10) == 0 ? 1200 : aPlan.mWork.mMs;
  } else if (role == 4 || role == 5) {
    const bool isResumable = role == 5;
    aPlan.mSent.mKind =
      isResumable ? RequestKind::ResumableStream : RequestKind::Stream;
    aPlan.mPrefix = isResumable ? "/resume/" : "/stream/";
    aPlan.mWork.mEvents = 2 + Random(25);
    aPlan.mWork.mGapMs = 10 + Random(60);
    timeoutMs = 20'000;
  } else {
    aPlan.mSent.mKind = RequestKind::Idempotent;
    aPlan.mPrefix = role == 6 ? "/other/" : "/read/";
    timeoutMs = 6000;
    if (role == 3) {
      aPlan.mWork.mBytes = 100'000 + Below(900'000);
    }
    if (mOptions.mHasLargeBodies && role == 3 && Random(6) == 0) {
      aPlan.mWork.mBytes = kLargeBytes;
    } else if (mOptions.mHasLargeBodies && role == 6 && Random(12) == 0) {
      aPlan.mBodyBytes = kLargeBytes;
    }
    if (role == 2 && Random(4) == 0) {
      aPlan.mMethod = "GET";
      aPlan.mBodyBytes = 0;
    } else if (role == 2 && Random(4) == 0) {
      // Events are sent on routes of every kind.
      aPlan.mWork.mEvents = 2 + Random(20);
      aPlan.mWork.mGapMs = 5 + Random(40);
    }
  }
  aPlan.mBudgetMs = Random(4) == 0 ? 1500 : 7000;
  if (aPlan.mWork.mEvents > 0) {
    aPlan.mBudgetMs = 19'000;
  }
  aPlan.mSent.mTimeMs = std::min(timeoutMs, aPlan.mBudgetMs);
}

void
SoakClient::PlanTrouble(Plan& aPlan)
{
  constexpr AnswerShape kShapes[] = {
    AnswerShape::Length,  AnswerShape::Chunks,      AnswerShape::UntilClose,
    AnswerShape::Refusal, AnswerShape::Misdirected, AnswerShape::ResetMidway,
    AnswerShape::Drip,
  };
  if (Random(6) == 0) {
    // A refusal makes all clients of its upstream wait, so it is rarer.
    aPlan.mWork.mShape = kShapes[Random(static_cast<int>(std::size(kShapes)))];
    if (aPlan.mWork.mShape == AnswerShape::Refusal && Random(4) != 0) {
      aPlan.mWork.mShape = AnswerShape::Length;
    }
    if (aPlan.mWork.mShape == AnswerShape::Drip) {
      aPlan.mWork.mGapMs = 10 + Random(150);
    }
  }
  aPlan.mIsChunked = aPlan.mBodyBytes > 0 && Random(3) == 0;
  aPlan.mDripMs = aPlan.mBodyBytes > 0 && Random(12) == 0 ? 1 + Random(40) : 0;
  if (mOptions.mNumber % 7 == 3) {
    aPlan.mReadPauseMs = Random(3) == 0 ? Random(8) : 0;
  }
  const bool mayLeave = mOptions.mNumber % 3 == 2 || mOptions.mNumber % 14 == 3;
  if (mayLeave && Random(3) == 0) {
    const bool isLong = aPlan.mWork.mEvents > 0 || mOptions.mNumber % 7 == 3;
    aPlan.mLeavesAfterMs = Random(isLong ? 700 : 120);
    aPlan.mLeavesWhileSending = aPlan.mBodyBytes > 0 && Random(3) == 0;
    aPlan.mLeaveKind = Random(3);
  }
}

void
SoakClient::RunPlan(Plan& aPlan)
{
  Sent& sent = aPlan.mSent;
  sent.mBeganMs = NowMs();
  mLedger.Begin(sent);
  const bool isSent = SendRequest(aPlan);
  if (isSent && !aPlan.mLeavesWhileSending) {
    sent.mWholeMs = NowMs();
  }
  if (aPlan.mLeavesWhileSending) {
    Leave(aPlan);
  } else if (isSent && aPlan.mLeavesAfterMs >= 0) {
    // Bytes that arrive meanwhile are left in the socket.
    SleepMs(std::max(0L, sent.mBeganMs + aPlan.mLeavesAfterMs - NowMs()));
    Leave(aPlan);
  } else {
    // The gateway may have answered before it has read the body.
    ReadAnswer(aPlan);
  }
  sent.mEndedMs = NowMs();
  mLedger.End(sent);
}

bool
SoakClient::SendRequest(Plan& aPlan)
{
  const std::string body = BodyOf(aPlan.mSent.mId, aPlan.mBodyBytes);
  std::string header = aPlan.mMethod + " " + aPlan.mPrefix +
                       aPlan.mWork.Text() +
                       " HTTP/1.1\r\nHost: site.example\r\n" +
                       RequestHeader(aPlan.mSent.mId, aPlan.mBudgetMs) +
                       "X-Body-Bytes: " + std::to_string(body.size()) + "\r\n";
  if (aPlan.mIsChunked) {
    header += "Transfer-Encoding: chunked\r\n\r\n";
  } else if (aPlan.mMethod == "GET") {
    header += "\r\n";
  } else {
    header += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  }
  const std::size_t pieces =
    aPlan.mDripMs > 0 || aPlan.mLeavesWhileSending ? kPieces : 1;
  const std::size_t size = body.size() / pieces + 1;
  bool isSent = pieces > 1 && mChannel->Send(header);
  std::string bytes = pieces > 1 ? "" : header;
  for (std::size_t at = 0; at < body.size(); at += size) {
    const std::string piece = body.substr(at, size);
    bytes +=
      aPlan.mIsChunked ? ChunkHeader(piece.size()) + piece + "\r\n" : piece;
    isSent = mChannel->Send(bytes);
    bytes.clear();
    if (!isSent || (aPlan.mLeavesWhileSending && at > body.size() / 2)) {
      return false;
    }
    SleepMs(aPlan.mDripMs);
  }
  bytes += aPlan.mIsChunked ? "0\r\n\r\n" : "";
  return bytes.empty() ? isSent : mChannel->Send(bytes);
}

void
SoakClient::ReadAnswer(Plan& aPlan)
{
  Sent& sent = aPlan.mSent;
  const long until = sent.mBeganMs + aPlan.mBudgetMs + kPatienceMs;
  mChannel->SetPause(aPlan.mReadPauseMs);
  std::optional<Message> answer = mChannel->ReadHeader(until);
  if (answer) {
    sent.mStatus = answer->Status();
    mChannel->ReadBody(*answer, until, true);
    sent.mIsWhole = answer->mIsWhole;
    sent.mDefect = DefectOf(aPlan, *answer);
  }
  // A client that reads slowly is late by itself.
  sent.mHasLeft =
    !sent.mIsWhole && (NowMs() >= until || aPlan.mReadPauseMs > 0);
  const bool closes =
    answer && strcasecmp(answer->Header("Connection").c_str(), "close") == 0;
  if (!sent.mIsWhole || closes || sent.mWholeMs < 0) {
    mChannel.reset();
  } else {
    mIsKept = true;
    if (mChannel->HasUnreadBytes()) {
      sent.mDefect += " bytes after the end of the response;";
    }
  }
}

void
SoakClient::Leave(Plan& aPlan)
{
  aPlan.mSent.mHasLeft = true;
  if (aPlan.mLeaveKind == 0) {
    mChannel->Reset();
  } else if (aPlan.mLeaveKind == 1) {
    mChannel->HalfClose();
    SleepMs(Random(100));
  }
  mChannel.reset();
}

std::string
SoakClient::DefectOf(const Plan& aPlan, const Message& aAnswer) const
{
  if (aAnswer.Status() != 200) {
    return {};
  }
  std::string defect;
  if (aAnswer.Header(SealName()) != SealOf(aPlan.mSent.mId)) {
    defect += " seal '" + aAnswer.Header(SealName()) + "';";
  }
  const std::string expected = ExpectedBody(aPlan.mSent.mId, aPlan.mWork);
  if (aAnswer.mIsWhole && aAnswer.mBody != expected) {
    defect += " " + std::to_string(aAnswer.mBody.size()) + " bytes of " +
              std::to_string(expected.size()) + " end as whole, or differ;";
  } else if (expected.compare(0, aAnswer.mBody.size(), aAnswer.mBody) != 0) {
    defect += " other bytes among the first " +
              std::to_string(aAnswer.mBody.size()) + ";";
  }
  return defect;
}

} // namespace cactusgw::soak
