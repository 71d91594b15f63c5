#include "cactusgw/entry/model_request.hpp"

#include "cactusgw/core/hash.hpp"
#include "cactusgw/net/problem.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace cactusgw {

namespace json = boost::json;

namespace {

constexpr std::int64_t kMaxTokensLimit = 1'000'000;

Failure
Invalid(std::string_view aMember, std::string_view aReason)
{
  return NotRun(FailureCode::InvalidInput,
                "/" + std::string{ aMember } + ": " + std::string{ aReason });
}

Result<std::string>
RequiredText(const json::object& aBody, std::string_view aName)
{
  const json::value* value = aBody.if_contains(aName);
  if (value == nullptr || !value->is_string()) {
    return Invalid(aName, "must be a string");
  }
  return std::string{ value->get_string() };
}

struct Prompt
{
  std::string mText;
  std::vector<std::string> mSharedParts;
};

/// The messages of a chat, joined with their roles.
Result<Prompt>
ReadMessages(const json::object& aBody)
{
  const json::value* messages = aBody.if_contains("messages");
  const bool isList = messages != nullptr && messages->is_array() &&
                      !messages->get_array().empty();
  if (!isList) {
    return Invalid("messages", "must be an array that is not empty");
  }
  Prompt prompt;
  for (const json::value& message : messages->get_array()) {
    const json::object* object = message.if_object();
    if (object == nullptr) {
      return Invalid("messages", "must hold objects");
    }
    const Result<std::string> role = RequiredText(*object, "role");
    const Result<std::string> content = RequiredText(*object, "content");
    if (!role || !content) {
      return Invalid("messages", "each needs \"role\" and \"content\"");
    }
    const std::string text = role.value() + ": " + content.value() + "\n";
    prompt.mText += text;
    prompt.mSharedParts.push_back(std::to_string(StableHash(text)));
  }
  prompt.mSharedParts.pop_back();
  return prompt;
}

Result<Prompt>
ReadPrompt(ModelApi aApi, const json::object& aBody)
{
  if (aApi == ModelApi::ChatCompletions) {
    return ReadMessages(aBody);
  }
  const Result<std::string> text = RequiredText(aBody, "prompt");
  if (!text) {
    return text.error();
  }
  return Prompt{ text.value(), {} };
}

Result<std::uint32_t>
ReadMaxTokens(const json::object& aBody)
{
  const json::value* value = aBody.if_contains("max_tokens");
  if (value == nullptr || value->is_null()) {
    return 0U;
  }
  const bool isValid = value->is_int64() && value->get_int64() >= 1 &&
                       value->get_int64() <= kMaxTokensLimit;
  if (!isValid) {
    return Invalid("max_tokens", "must be a positive whole number");
  }
  return static_cast<std::uint32_t>(value->get_int64());
}

Result<bool>
ReadStream(const json::object& aBody)
{
  const json::value* value = aBody.if_contains("stream");
  if (value == nullptr || value->is_null()) {
    return false;
  }
  if (!value->is_bool()) {
    return Invalid("stream", "must be true or false");
  }
  return value->get_bool();
}

} // namespace

Result<ModelRequest>
ParseModelRequest(ModelApi aApi, std::string_view aBody)
{
  json::error_code ec;
  const json::value value = json::parse({ aBody.data(), aBody.size() }, ec);
  if (ec || !value.is_object()) {
    return NotRun(FailureCode::InvalidInput, "the body is not a JSON object");
  }
  const json::object& body = value.get_object();
  const Result<std::string> model = RequiredText(body, "model");
  const Result<Prompt> prompt = ReadPrompt(aApi, body);
  const Result<std::uint32_t> maxTokens = ReadMaxTokens(body);
  const Result<bool> stream = ReadStream(body);
  if (!model) {
    return model.error();
  }
  if (!prompt) {
    return prompt.error();
  }
  if (!maxTokens) {
    return maxTokens.error();
  }
  if (!stream) {
    return stream.error();
  }
  return ModelRequest{ aApi,
                       model.value(),
                       prompt.value().mText,
                       maxTokens.value(),
                       stream.value(),
                       prompt.value().mSharedParts };
}

AnswerWriter::AnswerWriter(const ModelRequest& aRequest,
                           std::string aRequestId,
                           std::int64_t aCreatedSeconds)
  : mApi(aRequest.mApi)
  , mModel(aRequest.mModel)
  , mRequestId(std::move(aRequestId))
  , mCreatedSeconds(aCreatedSeconds)
{
}

std::string_view
AnswerWriter::ObjectName(bool aIsChunk) const
{
  if (mApi == ModelApi::Completions) {
    return "text_completion";
  }
  return aIsChunk ? "chat.completion.chunk" : "chat.completion";
}

std::string
AnswerWriter::TokenEvent(const AnswerToken& aToken) const
{
  json::object choice{ { "index", 0 }, { "finish_reason", nullptr } };
  const std::string text{ aToken.mText };
  if (mApi == ModelApi::ChatCompletions) {
    json::object delta{ { "content", text } };
    if (aToken.mOffset == 0) {
      delta["role"] = "assistant";
    }
    choice["delta"] = std::move(delta);
  } else {
    choice["text"] = text;
  }
  const json::object event{
    { "id", mRequestId },
    { "object", std::string{ ObjectName(true) } },
    { "created", mCreatedSeconds },
    { "model", mModel },
    { "choices", json::array{ std::move(choice) } },
    { "cactusgw",
      json::object{ { "generation", std::string{ aToken.mGeneration } },
                    { "offset", aToken.mOffset } } }
  };
  return "data: " + json::serialize(event) + "\n\n";
}

std::string
AnswerWriter::EndEvents(std::string_view aReason, std::uint64_t aTokens) const
{
  json::object choice{ { "index", 0 },
                       { "finish_reason", std::string{ aReason } } };
  if (mApi == ModelApi::ChatCompletions) {
    choice["delta"] = json::object{};
  } else {
    choice["text"] = "";
  }
  const json::object event{
    { "id", mRequestId },
    { "object", std::string{ ObjectName(true) } },
    { "created", mCreatedSeconds },
    { "model", mModel },
    { "choices", json::array{ std::move(choice) } },
    { "usage", json::object{ { "completion_tokens", aTokens } } }
  };
  return "data: " + json::serialize(event) + "\n\ndata: [DONE]\n\n";
}

std::string
AnswerWriter::ErrorEvent(const Failure& aFailure) const
{
  return "event: error\ndata: " +
         ProblemBody(aFailure, StatusOf(aFailure.mCode)) + "\n\n";
}

std::string
AnswerWriter::WholeAnswer(std::string_view aText,
                          std::string_view aReason,
                          std::uint64_t aTokens) const
{
  json::object choice{ { "index", 0 },
                       { "finish_reason", std::string{ aReason } } };
  const std::string text{ aText };
  if (mApi == ModelApi::ChatCompletions) {
    choice["message"] =
      json::object{ { "role", "assistant" }, { "content", text } };
  } else {
    choice["text"] = text;
  }
  const json::object answer{
    { "id", mRequestId },
    { "object", std::string{ ObjectName(false) } },
    { "created", mCreatedSeconds },
    { "model", mModel },
    { "choices", json::array{ std::move(choice) } },
    { "usage", json::object{ { "completion_tokens", aTokens } } }
  };
  return json::serialize(answer);
}

} // namespace cactusgw
