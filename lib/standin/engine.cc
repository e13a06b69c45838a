/// \file
/// HTTP interface of the stand-in model engine.

#include "teaselhill/standin/engine.h"

#include <charconv>

#include "teaselhill/support/logger.h"

namespace teaselhill::standin {

namespace {

constexpr Duration kLoadSamplePeriod = std::chrono::milliseconds(50);
constexpr size_t kMaxKvExports = 256;
constexpr int kMaxFetchRetries = 100;
constexpr Duration kFetchRetryDelay = std::chrono::milliseconds(500);
constexpr int kMaxPriority = 9;

std::string HeaderValue(const net::Headers& headers, std::string_view name) {
  return std::string(net::FindHeader(headers, name).value_or(""));
}

/// Returns the number in a header, `fallback` if the header is absent, or
/// nothing if its value is not a number.
std::optional<uint32_t> NumberHeader(const net::Headers& headers,
                                     std::string_view name,
                                     uint32_t fallback) {
  const auto text = net::FindHeader(headers, name);
  if (!text)
    return fallback;
  uint32_t number = 0;
  const auto [end, error] =
      std::from_chars(text->data(), text->data() + text->size(), number);
  if (error != std::errc() || end != text->data() + text->size())
    return std::nullopt;
  return number;
}

std::string Usage(const RunSpec& run) {
  const size_t answer = run.answer.size();
  return "\"usage\":{\"prompt_tokens\":" + std::to_string(run.prompt_tokens) +
         ",\"completion_tokens\":" + std::to_string(answer) +
         ",\"total_tokens\":" + std::to_string(run.prompt_tokens + answer) +
         "}";
}

/// Writes the answer of one run to its HTTP response, streamed or as one body.
class AnswerSink : public RunSink {
 public:
  AnswerSink(std::shared_ptr<net::ResponseWriter> response,
             const ChatRequest& request,
             const std::string& request_id)
      : response_(std::move(response)),
        streamed_(request.stream),
        max_tokens_(request.max_tokens) {
    std::string id;
    AppendJsonString(request_id, &id);
    std::string model;
    AppendJsonString(request.model, &model);
    body_prefix_ = "{\"id\":" + id + ",\"object\":\"chat.completion" +
                   (streamed_ ? ".chunk" : "") + "\",\"model\":" + model +
                   ",\"choices\":[{\"index\":0,";
  }

  void OnTokens(const RunSpec& run, size_t first, size_t count) override {
    if (!streamed_)
      return;
    EnsureStarted();
    std::string events;
    events.reserve(count * (body_prefix_.size() + 80));
    for (size_t i = first; i < first + count; ++i) {
      events += "data: " + body_prefix_ + "\"delta\":{\"content\":";
      AppendJsonString(run.answer[i], &events);
      events += "},\"finish_reason\":null}]}\n\n";
    }
    response_->Write(std::move(events));
  }

  void OnFinished(const RunSpec& run) override {
    const std::string reason =
        run.answer.size() < max_tokens_ ? "\"stop\"" : "\"length\"";
    if (streamed_) {
      EnsureStarted();
      response_->Write("data: " + body_prefix_ +
                       "\"delta\":{},\"finish_reason\":" + reason + "}]," +
                       Usage(run) + "}\n\ndata: [DONE]\n\n");
      response_->Finish();
      return;
    }
    std::string content;
    for (size_t i = run.resume_offset; i < run.answer.size(); ++i)
      content += run.answer[i];
    std::string body =
        body_prefix_ + "\"message\":{\"role\":\"assistant\",\"content\":";
    AppendJsonString(content, &body);
    body += "},\"finish_reason\":" + reason + "}]," + Usage(run) + "}";
    RespondJson(*response_, 200, std::move(body));
  }

  void OnCancelled(const RunSpec& run) override {
    if (!started_) {
      RespondJson(*response_, 499, ErrorBody("cancelled"));
      return;
    }
    // The missing `[DONE]` shows the reader that the answer is incomplete.
    response_->Finish();
  }

 private:
  void EnsureStarted() {
    if (!started_)
      response_->Start(200, {{"Content-Type", "text/event-stream"}});
    started_ = true;
  }

  std::shared_ptr<net::ResponseWriter> response_;
  bool streamed_;
  uint32_t max_tokens_;
  bool started_ = false;
  std::string body_prefix_;
};

}  // namespace

Engine::Engine(net::EventLoop& loop, const EngineOptions& options)
    : StandIn(loop, options.common),
      options_(options),
      cache_(options.cache),
      batch_(options.batch, cache_, journal_),
      assignment_(options.checks_fencing),
      client_(loop) {
  for (const std::string& model : options.models)
    assignment_.AddReadyModel(model);
  batch_.SetStartHook([this](const RunSpec& run) {
    CrashOnMarker(run.prompt);
    StoreKvExport(run);
  });
  step_timer_ = loop.timers().Subscribe(options.step,
                                        [this](TimePoint now) { Step(now); });
  sample_timer_ = loop.timers().Subscribe(
      kLoadSamplePeriod, [this](TimePoint now) { SampleLoad(now); });
  SampleLoad(Now());
}

void Engine::Step(TimePoint now) {
  if (!faults_.frozen(now))
    batch_.Step(now, faults_.slow_factor(now));
}

void Engine::SampleLoad(TimePoint now) {
  LoadSample sample;
  sample.sampled_at = now;
  sample.report.running = batch_.running();
  sample.report.waiting = batch_.waiting();
  sample.report.max_batch = options_.batch.max_batch;
  const uint64_t total = batch_.tokens_total();
  // The token rate is computed from the difference to the previous sample.
  if (!load_samples_.empty()) {
    sample.report.tokens_per_second =
        static_cast<double>(total - last_sampled_tokens_) /
        std::max(1e-3, ToSeconds(now - load_samples_.back().sampled_at));
  }
  last_sampled_tokens_ = total;
  for (const auto& [name, model] : assignment_.models()) {
    if (model.ready)
      sample.report.models.push_back(name);
  }
  load_samples_.push_back(std::move(sample));
  // Load reports are delayed by `report_lag`: remove all samples that are older
  // than the latest sample of at least that age.
  while (load_samples_.size() > 1 &&
         load_samples_[1].sampled_at + options_.report_lag <= now)
    load_samples_.pop_front();
}

void Engine::Serve(net::HttpRequest request, Response response) {
  const std::string& path = request.path;
  const bool get = request.method == "GET";
  const bool post = request.method == "POST";
  if (post && path == "/v1/chat/completions")
    ServeChat(request, response);
  else if (post && path.rfind("/v1/requests/", 0) == 0)
    ServeCancel(request, response);
  else if (get && path == "/v1/load")
    ServeLoadReport(response);
  else if (get && path == "/v1/cache/events")
    ServeCacheEvents(request, response);
  else if (get && path == "/v1/state")
    RespondJson(*response, 200, ToJson(assignment_));
  else if (post && path == "/v1/orders")
    ServeOrder(request, response);
  else if (path.rfind("/v1/kv/", 0) == 0)
    ServeKv(request, response);
  else
    RespondJson(*response, 404, ErrorBody("no such path"));
}

void Engine::ServeChat(const net::HttpRequest& request,
                       const Response& response) {
  const Result<ChatRequest> chat = ParseChatRequest(request.body);
  const auto priority = NumberHeader(request.headers, "X-Priority", 5);
  const auto offset = NumberHeader(request.headers, "X-Resume-Offset", 0);
  if (!chat || !priority || !offset || *priority > kMaxPriority) {
    RespondJson(*response, 400,
                ErrorBody(chat ? "invalid X-Priority or X-Resume-Offset header"
                               : chat.error().message));
    return;
  }
  if (!assignment_.Serves(chat->model)) {
    RespondJson(*response, 404, ErrorBody("model is not loaded"));
    return;
  }
  if (batch_.waiting() >= options_.max_waiting) {
    response->Respond(503, {{"Retry-After", "1"}}, ErrorBody("queue is full"));
    return;
  }
  RunSpec run;
  run.request_id = HeaderValue(request.headers, "X-Request-Id");
  run.key = HeaderValue(request.headers, "Idempotency-Key");
  run.model = chat->model;
  run.priority = static_cast<int>(*priority);
  run.prompt = PromptText(chat->messages);
  run.prompt_tokens = CountTokens(run.prompt);
  run.blocks = PrefixBlocks(run.model, run.prompt);
  run.answer = MakeAnswer(chat->model, chat->messages, chat->max_tokens);
  run.resume_offset = *offset;
  if (run.resume_offset > run.answer.size()) {
    RespondJson(*response, 400,
                ErrorBody("X-Resume-Offset is past the end of the answer"));
    return;
  }
  auto sink = std::make_shared<AnswerSink>(response, *chat, run.request_id);
  const EngineBatch::RunNumber number =
      batch_.Submit(std::move(run), std::move(sink));
  response->SetCloseHandler([this, number] { batch_.Drop(number); });
}

void Engine::ServeCancel(const net::HttpRequest& request,
                         const Response& response) {
  constexpr std::string_view kPrefix = "/v1/requests/";
  constexpr std::string_view kSuffix = "/cancel";
  std::string id = request.path.substr(kPrefix.size());
  if (id.size() <= kSuffix.size() ||
      id.compare(id.size() - kSuffix.size(), kSuffix.size(), kSuffix) != 0) {
    RespondJson(*response, 404, ErrorBody("no such path"));
    return;
  }
  id.resize(id.size() - kSuffix.size());
  const bool found = batch_.Cancel(id);
  RespondJson(*response, found ? 200 : 404,
              found ? "{}" : ErrorBody("no such request"));
}

void Engine::ServeLoadReport(const Response& response) {
  LoadReport report = load_samples_.front().report;
  report.age = Now() - load_samples_.front().sampled_at;
  RespondJson(*response, 200, ToJson(report));
}

void Engine::ServeCacheEvents(const net::HttpRequest& request,
                              const Response& response) {
  const auto query = net::ParseQuery(request.query);
  const auto from = query.find("from");
  const uint64_t first = from == query.end()
                             ? 1
                             : std::strtoull(from->second.c_str(), nullptr, 10);
  RespondJson(*response, 200, ToJson(cache_.EventsFrom(first, Now())));
}

void Engine::ServeOrder(const net::HttpRequest& request,
                        const Response& response) {
  const Result<Order> order = ParseOrder(request.body);
  if (!order) {
    RespondJson(*response, 400, ErrorBody(order.error().message));
    return;
  }
  const Result<uint64_t> load_number = assignment_.Apply(*order);
  if (!load_number) {
    RespondJson(*response, Describe(load_number.error().code).http_status,
                ErrorBody(load_number.error().message));
    return;
  }
  RespondJson(*response, 200, ToJson(assignment_));
  if (*load_number > 0)
    FetchWeights(order->model, *load_number, kMaxFetchRetries);
}

void Engine::FetchWeights(const std::string& model,
                          uint64_t load_number,
                          int retries_left) {
  if (options_.weights_url.empty()) {
    LoadWeights(model, load_number);
    return;
  }
  std::string body = "{\"model\":";
  AppendJsonString(model, &body);
  net::ClientRequest request;
  request.method = "POST";
  request.url = options_.weights_url + "/v1/fetches";
  request.body = body + "}";
  request.total_timeout = std::chrono::seconds(5);
  client_.Fetch(std::move(request), [=](Result<net::ClientResponse> answer) {
    if (answer && answer->status == 200) {
      const Result<Duration> ready = ParseFetchAnswer(answer->body);
      ScheduleCall(ready ? *ready : Duration::zero(),
                   [=] { LoadWeights(model, load_number); });
    } else if (retries_left > 0) {
      ScheduleCall(kFetchRetryDelay,
                   [=] { FetchWeights(model, load_number, retries_left - 1); });
    }
  });
}

void Engine::LoadWeights(const std::string& model, uint64_t load_number) {
  ScheduleCall(options_.load_time,
               [=] { assignment_.FinishLoad(model, load_number); });
}

void Engine::StoreKvExport(const RunSpec& run) {
  kv_exports_.push_back({run.request_id, run.blocks});
  if (kv_exports_.size() > kMaxKvExports)
    kv_exports_.pop_front();
}

void Engine::ServeKv(const net::HttpRequest& request,
                     const Response& response) {
  constexpr std::string_view kPrefix = "/v1/kv/";
  const std::string id = request.path.substr(kPrefix.size());
  if (request.method == "POST") {
    const Result<KvExport> kv = ParseKv(request.body);
    if (kv)
      cache_.Store(kv->blocks, Now());
    RespondJson(*response, kv ? 200 : 400,
                kv ? "{}" : ErrorBody(kv.error().message));
    return;
  }
  for (const KvExport& kv : kv_exports_) {
    if (kv.request_id == id) {
      RespondJson(*response, 200, ToJson(kv));
      return;
    }
  }
  RespondJson(*response, 404, ErrorBody("no KV cache for this request id"));
}

}  // namespace teaselhill::standin
