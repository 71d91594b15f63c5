#ifndef CACTUSGW_ENTRY_MODEL_ANSWER_HPP
#define CACTUSGW_ENTRY_MODEL_ANSWER_HPP

/// Answers one request for a generation, streaming or whole.

#include "cactusgw/entry/entry_context.hpp"
#include "cactusgw/entry/generation_call.hpp"
#include "cactusgw/entry/model_request.hpp"
#include "cactusgw/net/http_server.hpp"

#include <memory>
#include <string>

namespace cactusgw {

/// One instance per request; not thread-safe.
class ModelAnswer
{
public:
  ModelAnswer(EntryContext& aContext,
              HttpExchange& aExchange,
              RequestScope aScope,
              ModelRequest aRequest);

  /// Runs the request and answers the caller, whatever comes of it.
  /// @return what to remember for a repeat with the same key
  Task<Result<HttpResponse>> Run();

private:
  using Call = GenerationCall<HttpEngineClient>;

  Task<Result<void>> OnToken(const AnswerToken& aToken);
  Task<Result<void>> Begin();
  Task<void> FinishStream(const GenerationResult& aResult);
  Task<void> AnswerFailure(const Failure& aFailure);

  EntryContext& mContext;
  HttpExchange& mExchange;
  RequestScope mScope;
  ModelRequest mRequest;
  AnswerWriter mWriter;
  std::shared_ptr<Call> mCall;
  /// The text so far, for whole answers and for repeats by key.
  std::string mText;
  bool mKeepsText;
  ClientWatch mClientWatch;
};

} // namespace cactusgw

#endif // CACTUSGW_ENTRY_MODEL_ANSWER_HPP
