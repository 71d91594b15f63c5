#ifndef CACTUSGW_ENGINE_HTTP_ENGINE_CLIENT_HPP
#define CACTUSGW_ENGINE_HTTP_ENGINE_CLIENT_HPP

/// Client for model engines over HTTP and server-sent events.

#include "cactusgw/engine/sse_reader.hpp"
#include "cactusgw/interfaces/engine_client.hpp"
#include "cactusgw/net/http_client.hpp"

#include <memory>
#include <string>

namespace cactusgw {

class HttpGenerationStream
{
public:
  explicit HttpGenerationStream(std::unique_ptr<HttpExchangeClient> aClient);

  Task<Result<GenerationFrame>> Next();
  void Close();

private:
  std::unique_ptr<HttpExchangeClient> mClient;
  SseReader mReader;
};

class HttpEngineClient
{
public:
  using Stream = HttpGenerationStream;

  Task<Result<std::unique_ptr<Stream>>> Start(CheckedAddress aAddress,
                                              GenerationRequest aRequest,
                                              EngineTimes aTimes);
  Task<Result<std::unique_ptr<Stream>>> Resume(CheckedAddress aAddress,
                                               std::string aGeneration,
                                               std::uint64_t aOffset,
                                               EngineTimes aTimes);
  Task<Result<void>> Cancel(std::string aAddress, std::string aRequestId);
  Task<Result<EngineLoad>> Load(std::string aAddress);

private:
  Task<Result<std::unique_ptr<Stream>>> OpenStream(CheckedAddress aAddress,
                                                   HttpRequest aRequest,
                                                   EngineTimes aTimes);
};

static_assert(EngineClient<HttpEngineClient>);

} // namespace cactusgw

#endif // CACTUSGW_ENGINE_HTTP_ENGINE_CLIENT_HPP
