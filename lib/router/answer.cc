/// \file
/// Writes streamed answers and complete ones.

#include "teaselhill/router/answer.h"

#include <nlohmann/json.hpp>

namespace teaselhill::router {

namespace {

using nlohmann::json;

/// A larger answer is not stored; a retry fails with kAnswerNotKept.
constexpr size_t kMaxStoredAnswerBytes = 1 << 20;

/// Maximum size of an answer that is collected for a caller that does not
/// stream, and of one event that is passed through.
constexpr size_t kMaxCollectedBytes = 4 << 20;
constexpr size_t kMaxEventBytes = 1 << 20;

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataPrefix = "data: ";

net::Headers StreamHeaders(const std::string& request_id) {
  return {{"Content-Type", "text/event-stream"},
          {"Cache-Control", "no-cache"},
          {"X-Teaselhill-Outcome", "answered"},
          {"X-Request-Id", request_id}};
}

net::Headers CompletionHeaders(const std::string& request_id) {
  return {{"Content-Type", "application/json"},
          {"X-Teaselhill-Outcome", "answered"},
          {"X-Request-Id", request_id}};
}

}  // namespace

AnswerWriter::AnswerWriter(std::shared_ptr<net::ResponseWriter> response,
                           bool stream,
                           bool store_answer,
                           std::string request_id)
    : response_(std::move(response)),
      stream_(stream),
      store_answer_(store_answer),
      request_id_(std::move(request_id)) {}

bool AnswerWriter::AddEvents(std::string events, uint32_t tokens) {
  tokens_ += tokens;
  if (!stream_) {
    CollectContent(events);
    return content_.size() <= kMaxCollectedBytes;
  }
  if (!started_ && response_)
    response_->Start(200, StreamHeaders(request_id_));
  started_ = true;
  StoreEvents(events);
  if (response_)
    response_->Write(std::move(events));
  return true;
}

void AnswerWriter::CollectContent(std::string_view events) {
  while (!events.empty()) {
    const size_t end = std::min(events.find("\n\n"), events.size());
    const std::string_view event = events.substr(0, end);
    events.remove_prefix(std::min(end + 2, events.size()));
    if (event.substr(0, kDataPrefix.size()) != kDataPrefix)
      continue;
    const json chunk = json::parse(event.substr(kDataPrefix.size()), nullptr,
                                   /*allow_exceptions=*/false);
    if (!chunk.is_object())
      continue;
    model_ = chunk.value("model", model_);
    const auto usage = chunk.find("usage");
    if (usage != chunk.end() && usage->is_object())
      prompt_tokens_ = usage->value("prompt_tokens", prompt_tokens_);
    const auto choices = chunk.find("choices");
    if (choices == chunk.end() || !choices->is_array() || choices->empty())
      continue;
    const json& choice = choices->front();
    const auto delta = choice.find("delta");
    if (delta != choice.end() && delta->is_object())
      content_ += delta->value("content", "");
    const auto reason = choice.find("finish_reason");
    if (reason != choice.end() && reason->is_string())
      finish_reason_ = reason->get<std::string>();
  }
}

std::string AnswerWriter::CompletionBody() const {
  const json body = {
      {"id", "chatcmpl-" + request_id_},
      {"object", "chat.completion"},
      {"created", WallNow().time_since_epoch().count() / 1000},
      {"model", model_},
      {"choices",
       json::array(
           {{{"index", 0},
             {"message", {{"role", "assistant"}, {"content", content_}}},
             {"finish_reason", finish_reason_}}})},
      {"usage",
       {{"prompt_tokens", prompt_tokens_},
        {"completion_tokens", tokens_},
        {"total_tokens", prompt_tokens_ + tokens_}}}};
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

void AnswerWriter::Finish() {
  if (!stream_) {
    Respond(200, CompletionHeaders(request_id_), CompletionBody());
    return;
  }
  constexpr char kDone[] = "data: [DONE]\n\n";
  AddEvents(kDone, 0);
  if (store_answer_)
    stored_answer_ = std::make_shared<StoredAnswer>(
        StoredAnswer{200, StreamHeaders(request_id_), std::move(stored_body_)});
  if (response_)
    response_->Finish();
}

void AnswerWriter::Fail(const Error& error, Duration retry_after) {
  if (!response_)
    return;
  if (!started_) {
    net::Headers headers = ErrorHeaders(error, retry_after);
    headers.push_back({"X-Request-Id", request_id_});
    response_->Respond(Describe(error.code).http_status, std::move(headers),
                       ErrorBody(error));
    return;
  }
  response_->Write("event: error\ndata: " + ErrorBody(error) + "\n\n");
  response_->Finish();
}

void AnswerWriter::Respond(int status, net::Headers headers, std::string body) {
  if (store_answer_ && body.size() <= kMaxStoredAnswerBytes)
    stored_answer_ =
        std::make_shared<StoredAnswer>(StoredAnswer{status, headers, body});
  if (response_)
    response_->Respond(status, std::move(headers), std::move(body));
}

void AnswerWriter::Replay(const StoredAnswer& answer) {
  if (!response_)
    return;
  net::Headers headers = answer.headers;
  headers.push_back({"X-Teaselhill-Replayed", "true"});
  response_->Respond(answer.status, std::move(headers), answer.body);
}

void AnswerWriter::StartEventStream(int status, net::Headers headers) {
  started_ = true;
  if (response_)
    response_->Start(status, std::move(headers));
}

bool AnswerWriter::AddEventStream(std::string_view data) {
  partial_event_.append(data);
  const size_t end = partial_event_.rfind(kEventEnd);
  if (end == std::string::npos)
    return partial_event_.size() <= kMaxEventBytes;
  std::string rest = partial_event_.substr(end + kEventEnd.size());
  partial_event_.resize(end + kEventEnd.size());
  if (response_)
    response_->Write(std::move(partial_event_));
  partial_event_ = std::move(rest);
  return partial_event_.size() <= kMaxEventBytes;
}

void AnswerWriter::FinishEventStream() {
  if (!response_)
    return;
  if (!partial_event_.empty())
    response_->Write(std::move(partial_event_));
  response_->Finish();
}

std::shared_ptr<const StoredAnswer> AnswerWriter::TakeStoredAnswer() {
  return std::move(stored_answer_);
}

void AnswerWriter::StoreEvents(std::string_view data) {
  if (!store_answer_)
    return;
  if (stored_body_.size() + data.size() > kMaxStoredAnswerBytes)
    return DropStored();
  stored_body_.append(data);
}

void AnswerWriter::DropStored() {
  store_answer_ = false;
  std::string().swap(stored_body_);
}

bool AnswerWriter::DropCollected() {
  std::string().swap(partial_event_);
  if (stream_ || tokens_ == 0)
    return false;
  std::string().swap(content_);
  tokens_ = 0;
  return true;
}

}  // namespace teaselhill::router
