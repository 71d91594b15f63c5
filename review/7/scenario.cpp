/// A consumer sends requests whose transfer coding is not "chunked". Their
/// bodies hold the text of another request, which no consumer sends.

#include "standins.hpp"

using namespace review;

namespace {

constexpr const char* kInnerId = "5a6d7567676c6564";

/// The content of each body: the text of a request.
std::string
Content()
{
  return Request("POST", "/pule252/inner", kInnerId, 4000, "inner");
}

/// Sends one request on a channel of its own, with this line for the length of
/// its body, and reads what is answered.
void
SendOne(Record& aRecord, int aPort, const std::string& aFraming)
{
  const std::string id = NewRequestId();
  const std::unique_ptr<Connection> channel =
    Connection::Open(aPort, Ms{ 1000 });
  if (!channel) {
    aRecord.Line("request " + id + ": no channel");
    return;
  }
  channel->Send("POST /pule252/outer HTTP/1.1\r\nHost: " +
                std::string{ kHost } + "\r\nX-Cactusgw-Request-Id: " + id +
                "\r\nX-Cactusgw-Deadline-Milliseconds: 4000"
                "\r\nAuthorization: Bearer " +
                kKey + "\r\n" + aFraming + "\r\n\r\n" + Content());
  aRecord.Line("request " + id + " sent, one on its channel, with \"" +
               aFraming + "\" and a body of " +
               std::to_string(Content().size()) + " bytes");
  Message answer;
  ReadResult result = ReadResult::Whole;
  while ((result = channel->Read(answer, Ms{ 1000 })) == ReadResult::Whole) {
    aRecord.Line("  answer " + std::to_string(answer.Status()) +
                 " to request \"" + answer.Header("x-cactusgw-request-id") +
                 "\"");
  }
  aRecord.Line(result == ReadResult::Closed ? "  the channel was closed"
                                            : "  no further answer");
}

int
Run(Record& aRecord)
{
  // Lives to the end of the process, as its threads do.
  Platform& platform = *new Platform;
  Replica& replica = *new Replica{ "i-7f3a91c2", Ms{ 5 } };
  platform.Put("config", "main", PlainConfig(7));
  platform.Put("servers", replica.Id(), replica.Entry("wuno96b", "gent-a", 6));
  Gateway gateway{ TemporaryFolder(), platform.Address(), {} };
  if (!gateway.WaitReady(Ms{ 15'000 })) {
    aRecord.Line("the gateway isn't ready: " + gateway.LogPath());
    return kCouldNotRun;
  }
  const std::string length =
    "Content-Length: " + std::to_string(Content().size());
  for (const char* const coding : { "gzip", "identity", "chunked, gzip" }) {
    SendOne(aRecord,
            gateway.FrontPort(),
            HasTrouble() ? "Transfer-Encoding: " + std::string{ coding }
                         : length);
  }
  int smuggled = 0;
  for (const Message& run : replica.Received()) {
    const std::string id = run.Header("x-cactusgw-request-id");
    aRecord.Line("the replica ran \"" + run.mFirstLine + "\", request " + id +
                 ", body of " + std::to_string(run.mBody.size()) + " bytes");
    smuggled += id == kInnerId ? 1 : 0;
  }
  aRecord.Line("runs of the request that was inside a body: " +
               std::to_string(smuggled));
  return smuggled > 0 ? kBroken : kHeld;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  std::signal(SIGPIPE, SIG_IGN);
  Begin();
  Record record{ aArgc > 1 ? aArgv[1] : "record.txt" };
  const int code = Run(record);
  record.Line("exit " + std::to_string(code));
  std::_Exit(code);
}
