#include "cactusgw/gateway/upstream_connection.hpp"

namespace cactusgw {

std::unique_ptr<UpstreamConnection>
UpstreamConnection::Adopt(UpstreamTarget aTarget,
                          std::unique_ptr<HttpConnection> aConnection,
                          std::optional<TunnelUse> aTunnel)
{
  return std::unique_ptr<UpstreamConnection>{ new UpstreamConnection{
    std::move(aTarget), std::move(aConnection), std::move(aTunnel) } };
}

Task<Result<std::string>>
UpstreamConnection::Ask(HttpRequest aRequest, Instant aDeadline)
{
  constexpr std::size_t kMaxBytes = std::size_t{ 64 } * 1024;
  aRequest.set(http::field::host, mTarget.mAddress);
  const Result<void> header =
    co_await mConnection->Exchange(aRequest, aDeadline);
  std::string body;
  bool isWhole = false;
  while (header && !isWhole && body.size() <= kMaxBytes) {
    const Result<std::string> piece = co_await mConnection->ReadSome(aDeadline);
    if (!piece) {
      break;
    }
    isWhole = piece.value().empty();
    body += piece.value();
  }
  if (!isWhole || !mConnection->IsReusable()) {
    co_return NotRun(FailureCode::UpstreamUnreachable,
                     "the upstream doesn't tell about itself");
  }
  if (mConnection->Status() != static_cast<unsigned>(http::status::ok)) {
    body.clear();
  }
  co_return body;
}

} // namespace cactusgw
