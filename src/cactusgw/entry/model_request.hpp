#ifndef CACTUSGW_ENTRY_MODEL_REQUEST_HPP
#define CACTUSGW_ENTRY_MODEL_REQUEST_HPP

/// Requests for generations and their answers, in the form of the OpenAI API.

#include "cactusgw/core/verdict.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

enum class ModelApi
{
  ChatCompletions,
  Completions,
};

/// A request as the caller made it.
struct ModelRequest
{
  ModelApi mApi = ModelApi::ChatCompletions;
  std::string mModel;
  std::string mPrompt;
  /// Zero when the caller set no limit.
  std::uint32_t mMaxTokens = 0;
  bool mStream = false;
  /// Hashes of the chat's messages but the last one, which belongs to the
  /// request itself: prompt parts that other requests may share.
  std::vector<std::string> mSharedParts;
};

/// Errors: InvalidInput, naming the member at fault.
Result<ModelRequest> ParseModelRequest(ModelApi aApi, std::string_view aBody);

/// One token on its way to the caller.
struct AnswerToken
{
  std::string_view mText;
  std::string_view mGeneration;
  std::uint64_t mOffset = 0;
};

/// Writes answers to one request.
class AnswerWriter
{
public:
  AnswerWriter(const ModelRequest& aRequest,
               std::string aRequestId,
               std::int64_t aCreatedSeconds);

  /// One server-sent event with one token.
  std::string TokenEvent(const AnswerToken& aToken) const;
  /// The event that states why the answer ended, and the closing marker.
  std::string EndEvents(std::string_view aReason, std::uint64_t aTokens) const;
  /// The event that ends a stream that broke.
  std::string ErrorEvent(const Failure& aFailure) const;
  /// The whole answer to a request that does not stream.
  std::string WholeAnswer(std::string_view aText,
                          std::string_view aReason,
                          std::uint64_t aTokens) const;

private:
  std::string_view ObjectName(bool aIsChunk) const;

  ModelApi mApi;
  std::string mModel;
  std::string mRequestId;
  std::int64_t mCreatedSeconds;
};

} // namespace cactusgw

#endif // CACTUSGW_ENTRY_MODEL_REQUEST_HPP
