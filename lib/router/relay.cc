/// \file
/// Relay of one request.

#include "teaselhill/router/relay.h"

#include <algorithm>
#include <charconv>

#include "relay_attempt.h"

namespace teaselhill::router {

namespace {

/// Reading from the upstream pauses when at least `kHighWaterBytes` are pending
/// for a slow caller, and resumes when at most `kLowWaterBytes` are.
constexpr size_t kHighWaterBytes = 8 << 10;
constexpr size_t kLowWaterBytes = 2 << 10;

/// Maximum size of a response body that is not an event stream. Such a body is
/// buffered completely before it is passed on, so that the caller never
/// receives a partial one.
constexpr size_t kMaxPlainBodyBytes = 16 << 20;

/// Part of an engine's error that is kept. An engine that sends more is not
/// read any further.
constexpr size_t kMaxErrorBodyBytes = 4 << 10;

/// Maximum size of an event stream, most of which has been passed on. An answer
/// of 500,000 tokens with 300 bytes for each event is smaller.
constexpr size_t kMaxStreamBytes = 256 << 20;

bool IsHopByHop(std::string_view name) {
  static constexpr std::string_view kHopByHopHeaders[] = {
      "Connection", "Keep-Alive",       "Transfer-Encoding", "Upgrade",
      "TE",         "Content-Length",   "Trailer",           "Host",
      "Expect",     "Proxy-Connection", "Proxy-Authenticate"};
  return std::any_of(
      std::begin(kHopByHopHeaders), std::end(kHopByHopHeaders),
      [&](std::string_view hop) { return net::SameHeaderName(hop, name); });
}

Duration ParseRetryAfter(const net::Headers& headers) {
  const auto value = net::FindHeader(headers, "Retry-After");
  if (!value)
    return Duration::zero();
  int seconds = 0;
  std::from_chars(value->data(), value->data() + value->size(), seconds);
  return std::chrono::seconds(std::clamp(seconds, 0, 3600));
}

}  // namespace

void Relay::Attempt::OnHead(int status, const net::Headers& headers) {
  status_ = status;
  headers_ = headers;
  if (command_.to_host && !ended_)
    relay_->OnForwardedHead(*this);
}

void Relay::Attempt::OnData(std::string_view data) {
  if (ended_)
    return;
  const std::shared_ptr<Relay> relay = relay_;
  if (passes_through_)
    relay->OnForwardedData(*this, data);
  else if (IsEngineStream())
    relay->OnEngineData(*this, data);
  else
    relay->OnBodyData(*this, data);
  relay->CountHeldBytes();
}

void Relay::Attempt::OnEnd(const net::TransferEnd& end) {
  if (ended_)
    return;
  const std::shared_ptr<Relay> relay = relay_;
  relay->OnAttemptEnd(*this, end);
  relay->CountHeldBytes();
}

bool Relay::Attempt::IsPlain() const {
  return command_.to_host || relay_->info_.model.empty();
}

bool Relay::Attempt::IsEngineStream() const {
  return !IsPlain() && status_ == 200 && net::IsEventStream(headers_);
}

Relay::Relay(const RelayContext& context,
             RequestInfo info,
             OutgoingRequest outgoing,
             std::shared_ptr<net::ResponseWriter> response,
             bool store_answer)
    : context_(context),
      info_(std::move(info)),
      outgoing_(std::move(outgoing)),
      response_(response),
      store_answer_(store_answer),
      answer_(std::move(response),
              info_.stream,
              store_answer,
              info_.external_id) {}

Relay::~Relay() = default;

net::ClientRequest Relay::BuildRequest(const AttemptCommand& command) const {
  net::ClientRequest request;
  request.method = outgoing_.method;
  // An upstream may write an answer once more, which on a reused connection
  // would be taken for the answer to the next request. libcurl also repeats a
  // request by itself if a reused connection turns out to be dead.
  request.fresh_connection = true;
  request.close_connection = true;
  request.source_address = context_.source_address;
  // One byte more, so that the relay finds that the body is too large.
  request.max_body_bytes = info_.model.empty() && !command.to_host
                               ? kMaxPlainBodyBytes + 1
                               : kMaxStreamBytes;
  if (command.to_host) {
    request.url = command.url + outgoing_.caller_target;
    request.body = outgoing_.caller_body;
    request.headers = outgoing_.caller_headers;
    request.headers.push_back({"X-Teaselhill-Forwarded", context_.host_secret});
  } else {
    request.url = command.url + outgoing_.target;
    request.body = outgoing_.body;
    request.headers = outgoing_.headers;
  }
  auto& headers = request.headers;
  headers.erase(std::remove_if(headers.begin(), headers.end(),
                               [](const net::Header& header) {
                                 return IsHopByHop(header.name) ||
                                        net::SameHeaderName(header.name,
                                                            "X-Request-Id");
                               }),
                headers.end());
  headers.push_back({"X-Request-Id", info_.external_id});
  if (command.to_host || info_.model.empty())
    return request;
  headers.push_back({"Content-Type", "application/json"});
  headers.push_back({"X-Priority", std::to_string(command.engine_priority)});
  // Uses the token count of this thread, which is exact; the `resume_offset` of
  // the command comes from the control thread and may be out of date.
  if (answer_.tokens() > 0)
    headers.push_back({"X-Resume-Offset", std::to_string(answer_.tokens())});
  if (!info_.idempotency_key.empty())
    headers.push_back({"Idempotency-Key", info_.idempotency_key});
  return request;
}

void Relay::StartAttempt(const AttemptCommand& command) {
  if (finished_)
    return;
  if (command.replaces)
    PauseReplacedAttempt(*command.replaces);
  OpenAccount();
  auto attempt = std::make_shared<Attempt>(shared_from_this(), command);
  attempts_[command.attempt] = attempt;
  attempt->transfer_ = context_.client->Start(BuildRequest(command), attempt);
}

void Relay::CancelAttempt(int attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end())
    return;
  found->second->ended_ = true;
  context_.client->Cancel(found->second->transfer_);
  attempts_.erase(found);
  if (selected_attempt_ == attempt)
    selected_attempt_ = -1;
  CountHeldBytes();
}

void Relay::PauseReplacedAttempt(int attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end())
    return;
  found->second->replaced_ = true;
  context_.client->Pause(found->second->transfer_);
  if (selected_attempt_ == attempt)
    selected_attempt_ = -1;
}

void Relay::ResumeAttempt(int attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end() || !found->second->replaced_)
    return;
  const std::shared_ptr<Attempt> resumed = found->second;
  resumed->replaced_ = false;
  // Its next events follow those that it has delivered.
  if (resumed->tokens_ > 0)
    TrySelectAttempt(attempt);
  if (!resumed->paused_)
    context_.client->Resume(resumed->transfer_);
}

void Relay::CancelReplacedAttempt() {
  const auto replaced =
      std::find_if(attempts_.begin(), attempts_.end(),
                   [](const auto& entry) { return entry.second->replaced_; });
  if (replaced != attempts_.end())
    CancelAttempt(replaced->first);
}

void Relay::DetachCaller() {
  answer_.DetachCaller();
  response_.reset();
  // Resume() delivers what has arrived, up to the end of an attempt, which
  // removes it.
  const auto attempts = attempts_;
  for (const auto& [number, attempt] : attempts) {
    if (std::exchange(attempt->paused_, false) && !attempt->ended_ &&
        !attempt->replaced_)
      context_.client->Resume(attempt->transfer_);
  }
}

void Relay::Fail(const Error& error, Duration retry_after) {
  if (finished_)
    return;
  finished_ = true;
  answer_.Fail(error, retry_after);
  while (!attempts_.empty())
    CancelAttempt(attempts_.begin()->first);
}

void Relay::Replay(const StoredAnswer& answer) {
  if (finished_)
    return;
  finished_ = true;
  answer_.Replay(answer);
}

void Relay::CollectProgress(std::vector<TokenProgress>* out) {
  for (auto& [number, attempt] : attempts_) {
    if (attempt->unreported_tokens_ == 0)
      continue;
    out->push_back({info_.id, number, attempt->unreported_tokens_});
    attempt->unreported_tokens_ = 0;
  }
}

bool Relay::TrySelectAttempt(int attempt) {
  if (selected_attempt_ < 0) {
    selected_attempt_ = attempt;
    CancelReplacedAttempt();
  }
  return selected_attempt_ == attempt;
}

void Relay::OnEngineData(Attempt& attempt, std::string_view data) {
  Result<SseSplitter::Batch> batch = attempt.splitter_.Feed(data);
  if (!batch)
    return EndBrokenStream(attempt, batch.error());
  const bool first = attempt.tokens_ == 0 && batch->tokens > 0;
  attempt.tokens_ += batch->tokens;
  attempt.unreported_tokens_ += batch->tokens;
  // Of several hedged attempts, the first one with a token is relayed. Events
  // without a token must not select an attempt and are dropped.
  const int number = attempt.command_.attempt;
  const bool relayed =
      (batch->tokens > 0 || batch->done || selected_attempt_ == number) &&
      TrySelectAttempt(number);
  if (relayed && first)
    context_.control->OnFirstToken(info_.id, number);
  if (relayed && !batch->events.empty() &&
      !answer_.AddEvents(std::move(batch->events), batch->tokens)) {
    answer_.DropCollected();
    return EndBrokenStream(attempt, {ResultCode::kProtocolError,
                                     "the collected answer is too large"});
  }
  if (!batch->error_event.empty())
    return EndBrokenStream(attempt, {ResultCode::kUpstreamRefused,
                                     batch->error_event.substr(0, 200)});
  if (!relayed)
    return;
  if (batch->done) {
    OnEngineDone(attempt);
    return;
  }
  PauseForSlowCaller(attempt);
}

void Relay::EndBrokenStream(Attempt& attempt, const Error& error) {
  const std::shared_ptr<Attempt> alive = attempts_[attempt.command_.attempt];
  context_.client->Cancel(attempt.transfer_);
  AttemptEnd end;
  end.code = error.code;
  end.detail = error.message;
  end.status = attempt.status_;
  end.may_have_been_sent = true;
  ReportEnd(attempt, std::move(end));
}

void Relay::OnEngineDone(Attempt& attempt) {
  finished_ = true;
  answer_.Finish();
  AttemptEnd end;
  end.complete = true;
  end.status = attempt.status_;
  end.may_have_been_sent = true;
  ReportEnd(attempt, std::move(end));
}

void Relay::OnForwardedHead(Attempt& attempt) {
  if (attempt.status_ != 200 || !net::IsEventStream(attempt.headers_) ||
      !TrySelectAttempt(attempt.command_.attempt))
    return;
  attempt.passes_through_ = true;
  answer_.StartEventStream(attempt.status_, attempt.headers_);
}

void Relay::OnForwardedData(Attempt& attempt, std::string_view data) {
  if (!answer_.AddEventStream(data))
    return EndBrokenStream(attempt, {ResultCode::kProtocolError,
                                     "an event of the answer is too large"});
  PauseForSlowCaller(attempt);
}

void Relay::OnBodyData(Attempt& attempt, std::string_view data) {
  const size_t limit =
      attempt.IsPlain() ? kMaxPlainBodyBytes : kMaxErrorBodyBytes;
  const size_t space = limit - attempt.body_.size();
  if (data.size() <= space) {
    attempt.body_.append(data);
    return;
  }
  if (attempt.IsPlain())
    return EndBrokenStream(attempt, {ResultCode::kProtocolError,
                                     "the response body exceeds " +
                                         std::to_string(limit) + " bytes"});
  attempt.body_.append(data.substr(0, space));
  const std::shared_ptr<Attempt> alive = attempts_[attempt.command_.attempt];
  context_.client->Cancel(attempt.transfer_);
  net::TransferEnd end;
  end.status = attempt.status_;
  end.may_have_been_sent = true;
  OnAttemptEnd(attempt, end);
}

void Relay::OnPlainEnd(Attempt& attempt) {
  finished_ = true;
  CancelReplacedAttempt();
  if (attempt.passes_through_) {
    answer_.FinishEventStream();
    return;
  }
  net::Headers headers;
  for (const net::Header& header : attempt.headers_) {
    if (!IsHopByHop(header.name))
      headers.push_back(header);
  }
  if (!attempt.command_.to_host) {
    headers.push_back({"X-Teaselhill-Outcome", "answered"});
    headers.push_back({"X-Request-Id", info_.external_id});
  }
  answer_.Respond(attempt.status_, std::move(headers),
                  std::move(attempt.body_));
}

void Relay::OnAttemptEnd(Attempt& attempt, const net::TransferEnd& end) {
  AttemptEnd report;
  report.code = end.code;
  report.detail = end.detail;
  report.status = end.status;
  report.may_have_been_sent = end.may_have_been_sent;
  report.retry_after = ParseRetryAfter(attempt.headers_);
  // An engine that responds with 429 or 503 has not run the request. A plain
  // service gives no such guarantee, so its response to a call that is not
  // idempotent is passed to the caller.
  const bool refused =
      info_.idempotent && (attempt.status_ == 429 || attempt.status_ == 503);
  const bool whole = end.code == ResultCode::kOk;
  if (attempt.IsPlain() && whole && (!refused || attempt.command_.to_host)) {
    OnPlainEnd(attempt);
    report.complete = true;
    report.code = ResultCode::kOk;
  } else if (end.code == ResultCode::kOk && attempt.IsEngineStream()) {
    report.code = ResultCode::kConnectionLost;
    report.detail = "the stream ended before [DONE]";
  } else if (end.code == ResultCode::kOk) {
    report.code = ResultCode::kUpstreamRefused;
    report.detail = attempt.status_ == 200 ? "the answer is no event stream"
                                           : attempt.body_.substr(0, 200);
  }
  ReportEnd(attempt, std::move(report));
}

void Relay::ReportEnd(Attempt& attempt, AttemptEnd end) {
  const std::shared_ptr<Attempt> alive = attempts_[attempt.command_.attempt];
  attempt.ended_ = true;
  end.request = info_.id;
  end.attempt = attempt.command_.attempt;
  end.tokens = attempt.tokens_;
  end.delivered_tokens = answer_.tokens();
  attempts_.erase(attempt.command_.attempt);
  if (!end.complete && selected_attempt_ == end.attempt)
    selected_attempt_ = -1;
  std::shared_ptr<const StoredAnswer> stored;
  if (end.complete && store_answer_ && !alive->command_.to_host)
    stored = answer_.TakeStoredAnswer();
  context_.control->OnAttemptEnded(std::move(end), std::move(stored));
}

void Relay::PauseForSlowCaller(Attempt& attempt) {
  if (!response_ || attempt.paused_ ||
      response_->pending_bytes() < kHighWaterBytes)
    return;
  attempt.paused_ = true;
  context_.client->Pause(attempt.transfer_);
  const std::weak_ptr<Relay> weak = weak_from_this();
  const int number = attempt.command_.attempt;
  response_->SetDrainHandler([weak, number] {
    const std::shared_ptr<Relay> relay = weak.lock();
    if (!relay || !relay->response_ ||
        relay->response_->pending_bytes() > kLowWaterBytes)
      return;
    relay->response_->SetDrainHandler(nullptr);
    const auto found = relay->attempts_.find(number);
    if (found == relay->attempts_.end() || !found->second->paused_)
      return;
    found->second->paused_ = false;
    if (found->second->replaced_)
      return;
    relay->context_.client->Resume(found->second->transfer_);
  });
}

}  // namespace teaselhill::router
