/// \file
/// Parsing and validation of callers' requests.

#include "teaselhill/router/caller_request.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "teaselhill/routing/prefix_index.h"

namespace teaselhill::router {

namespace {

using nlohmann::json;

constexpr size_t kBytesPerToken = 4;

constexpr size_t kMaxIdBytes = 128;
constexpr std::chrono::hours kMaxDeadline{24};
constexpr uint32_t kMaxRequestedTokens = 1 << 20;

/// The JSON library serializes values recursively: a body of 4 MiB of brackets
/// overflowed the thread's stack.
constexpr int kMaxNestingDepth = 64;

Error Malformed(std::string message) {
  return {ResultCode::kMalformedBody, std::move(message)};
}

bool IsNestedTooDeep(std::string_view body) {
  int depth = 0;
  bool quoted = false;
  for (size_t i = 0; i < body.size(); ++i) {
    const char c = body[i];
    if (quoted) {
      if (c == '\\')
        ++i;
      else if (c == '"')
        quoted = false;
    } else if (c == '"') {
      quoted = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxNestingDepth)
        return true;
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

/// Concatenates roles and contents, because the engine's cache is keyed by the
/// prompt.
Result<std::string> PromptText(const json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty())
    return Malformed("messages: must be a non-empty array");
  std::string text;
  for (size_t i = 0; i < messages->size(); ++i) {
    const json& message = (*messages)[i];
    const std::string path = "messages[" + std::to_string(i) + "]";
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string())
      return Malformed(path + ".role: must be a string");
    const auto content = message.find("content");
    if (content == message.end() ||
        !(content->is_string() || content->is_array()))
      return Malformed(path + ".content: must be a string or an array");
    text += message["role"].get_ref<const std::string&>() + "\n";
    text += content->is_string() ? content->get_ref<const std::string&>()
                                 : content->dump();
    text += "\n";
  }
  return text;
}

bool IsPrintableId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxIdBytes &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

Error BadHeader(std::string_view name,
                std::string_view value,
                std::string_view allowed) {
  std::string shown(value.substr(0, 64));
  return {ResultCode::kBadHeader, std::string(name) + ": '" + shown +
                                      "' is not " + std::string(allowed)};
}

Result<Duration> ParseDeadline(std::string_view text) {
  int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const std::chrono::milliseconds deadline(value);
  if (error != std::errc() || end != text.data() + text.size() || value <= 0 ||
      deadline > kMaxDeadline)
    return BadHeader("X-Teaselhill-Deadline-Ms", text,
                     "a whole number of milliseconds from 1 to 86400000");
  return Duration(deadline);
}

}  // namespace

Result<ModelBody> ParseModelBody(const std::string& body) {
  if (IsNestedTooDeep(body))
    return Malformed("the body is nested deeper than " +
                     std::to_string(kMaxNestingDepth) + " levels");
  json parsed = json::parse(body, nullptr, false);
  if (parsed.is_discarded() || !parsed.is_object())
    return Malformed("the body is not a JSON object");
  const auto model = parsed.find("model");
  if (model == parsed.end() || !model->is_string())
    return Malformed("model: must be a string");
  ModelBody result;
  result.model = model->get<std::string>();
  const auto stream = parsed.find("stream");
  if (stream != parsed.end() && !stream->is_boolean())
    return Malformed("stream: must be true or false");
  result.stream = stream != parsed.end() && stream->get<bool>();
  const auto max_tokens = parsed.find("max_tokens");
  if (max_tokens != parsed.end()) {
    if (!max_tokens->is_number_unsigned() || max_tokens->get<uint64_t>() == 0 ||
        max_tokens->get<uint64_t>() > kMaxRequestedTokens)
      return Malformed("max_tokens: must be a whole number from 1 to 1048576");
    result.max_tokens = max_tokens->get<uint32_t>();
  }
  const Result<std::string> prompt = PromptText(parsed);
  if (!prompt)
    return prompt.error();
  result.prompt_tokens =
      static_cast<uint32_t>(prompt->size() / kBytesPerToken + 1);
  result.prefix_hashes = routing::PrefixBlocks(result.model, *prompt);
  parsed["stream"] = true;
  result.engine_body =
      parsed.dump(-1, ' ', false, json::error_handler_t::replace);
  return result;
}

Result<RequestHeaders> ParseRequestHeaders(const net::Headers& headers) {
  RequestHeaders parsed;
  for (const net::Header& header : headers) {
    if (net::SameHeaderName(header.name, "X-Request-Id")) {
      if (!IsPrintableId(header.value))
        return BadHeader(header.name, header.value,
                         "1 to 128 printable characters");
      parsed.external_id = header.value;
    } else if (net::SameHeaderName(header.name, "X-Teaselhill-Class")) {
      parsed.class_name = header.value;
    } else if (net::SameHeaderName(header.name, "Idempotency-Key")) {
      if (!IsPrintableId(header.value))
        return BadHeader(header.name, header.value,
                         "1 to 128 printable characters");
      parsed.idempotency_key = header.value;
    } else if (net::SameHeaderName(header.name, "X-Teaselhill-Idempotent")) {
      if (header.value != "true" && header.value != "false")
        return BadHeader(header.name, header.value, "true or false");
      parsed.idempotent = header.value == "true";
    } else if (net::SameHeaderName(header.name, "X-Teaselhill-Deadline-Ms")) {
      const Result<Duration> deadline = ParseDeadline(header.value);
      if (!deadline)
        return deadline.error();
      parsed.deadline = *deadline;
    } else if (net::SameHeaderName(header.name, "X-Teaselhill-Forwarded")) {
      parsed.forwarded = true;
    }
  }
  return parsed;
}

Result<std::string> ParseBearerKey(const net::Headers& headers) {
  constexpr std::string_view kScheme = "Bearer ";
  const auto value = net::FindHeader(headers, "Authorization");
  if (!value || value->substr(0, kScheme.size()) != kScheme ||
      value->size() == kScheme.size())
    return {ResultCode::kBadKey,
            "authorization header with a bearer key is missing"};
  return std::string(value->substr(kScheme.size()));
}

}  // namespace teaselhill::router
