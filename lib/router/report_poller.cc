/// \file
/// Polling and parsing of engine reports.

#include "teaselhill/router/report_poller.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace teaselhill::router {

namespace {

using nlohmann::json;

/// Cache events are hints, so they are polled less often than load reports.
constexpr uint64_t kRoundsPerEventPoll = 4;

constexpr std::chrono::milliseconds kPollTimeout{1000};

/// Maximum size of a load report, which holds a few numbers, and of a page of
/// cache events, of which each takes up to 100 bytes.
constexpr size_t kMaxLoadReportBytes = 64 << 10;
constexpr size_t kMaxEventPageBytes = 4 << 20;

Error ReportError(const std::string& what) {
  return {ResultCode::kProtocolError, "engine report: " + what};
}

}  // namespace

Result<routing::LoadReport> ParseLoadReport(const std::string& body) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object())
    return ReportError("not a JSON object");
  for (const char* field : {"running", "waiting", "max_batch"}) {
    const auto value = parsed.find(field);
    if (value == parsed.end() || !value->is_number_integer() ||
        value->get<int64_t>() < 0 || value->get<int64_t>() > 1000000)
      return ReportError(std::string(field) + " must be a whole number");
  }
  routing::LoadReport report;
  report.running = parsed["running"].get<int>();
  report.waiting = parsed["waiting"].get<int>();
  report.max_batch = parsed["max_batch"].get<int>();
  const auto rate = parsed.find("tokens_per_second");
  if (rate != parsed.end() && rate->is_number())
    report.tokens_per_second = rate->get<double>();
  const auto age = parsed.find("report_age_ms");
  if (age != parsed.end() && age->is_number())
    report.age = FromSeconds(std::max(0.0, age->get<double>()) / 1000);
  return report;
}

Result<CacheEventPage> ParseCacheEvents(const std::string& body,
                                        uint64_t from) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("events") ||
      !parsed["events"].is_array())
    return ReportError("events must be an array");
  CacheEventPage page;
  uint64_t expected = from;
  for (const json& event : parsed["events"]) {
    if (!event.is_object() || !event.contains("seq") ||
        !event["seq"].is_number_unsigned())
      return ReportError("seq must be a whole number");
    const auto sequence = event["seq"].get<uint64_t>();
    page.gap |= from > 0 && sequence > expected;
    expected = sequence + 1;
    const std::string hash = event.value("prefix_hash", "");
    routing::CacheEvent converted;
    const auto [end, error] = std::from_chars(
        hash.data(), hash.data() + hash.size(), converted.block, 16);
    if (hash.empty() || error != std::errc() ||
        end != hash.data() + hash.size())
      continue;
    converted.kind = event.value("kind", "stored") == "stored"
                         ? routing::CacheEventKind::kStored
                         : routing::CacheEventKind::kRemoved;
    page.events.push_back(converted);
  }
  const auto next = parsed.find("next");
  page.next = next != parsed.end() && next->is_number_unsigned()
                  ? next->get<uint64_t>()
                  : expected;
  return page;
}

ReportPoller::ReportPoller(net::HttpClient& client,
                           TimerService& timers,
                           routing::UpstreamTable& table,
                           Duration period,
                           std::string source_address,
                           ReportFunction on_report)
    : client_(client),
      timers_(timers),
      table_(table),
      period_(period),
      source_address_(std::move(source_address)),
      on_report_(std::move(on_report)) {
  timer_ =
      timers_.Subscribe(period_, [this](TimePoint now) { PollEngines(now); });
}

ReportPoller::~ReportPoller() = default;

void ReportPoller::SetPeriod(Duration period) {
  if (period == period_)
    return;
  period_ = period;
  timer_ =
      timers_.Subscribe(period_, [this](TimePoint now) { PollEngines(now); });
}

void ReportPoller::SetEngines(const std::vector<PolledEngine>& engines) {
  std::map<std::string, Engine> next;
  for (const PolledEngine& engine : engines) {
    const auto previous = engines_.find(engine.name);
    if (previous != engines_.end() && previous->second.url == engine.url) {
      next.emplace(engine.name, previous->second);
      continue;
    }
    Engine added;
    added.url = engine.url;
    added.generation = ++last_generation_;
    next.emplace(engine.name, std::move(added));
  }
  engines_ = std::move(next);
}

void ReportPoller::PollEngines(TimePoint) {
  const bool with_events =
      poll_rounds_++ % kRoundsPerEventPoll == 0 && reads_events_;
  for (auto& [name, engine] : engines_) {
    if (!engine.load_in_flight)
      PollLoad(name, engine);
    if (with_events && !engine.events_in_flight)
      PollEvents(name, engine);
  }
}

net::ClientRequest ReportPoller::MakeRequest(const std::string& url) const {
  net::ClientRequest request;
  request.url = url;
  request.purpose = "engine_report";
  request.source_address = source_address_;
  request.connect_timeout = kPollTimeout;
  request.total_timeout = kPollTimeout;
  return request;
}

ReportPoller::Engine* ReportPoller::FindEngine(const std::string& name,
                                               uint64_t generation) {
  const auto found = engines_.find(name);
  const bool same =
      found != engines_.end() && found->second.generation == generation;
  return same ? &found->second : nullptr;
}

void ReportPoller::FetchFromEngine(
    const std::string& name,
    Engine& engine,
    const std::string& path,
    bool Engine::*in_flight,
    size_t max_bytes,
    std::function<void(Engine&, const std::string& body)> handle_body) {
  engine.*in_flight = true;
  client_.Fetch(
      MakeRequest(engine.url + path),
      [this, name, in_flight, handle_body = std::move(handle_body),
       generation = engine.generation, alive = std::weak_ptr<int>(alive_)](
          const Result<net::ClientResponse>& response) {
        if (alive.expired())
          return;
        Engine* polled = FindEngine(name, generation);
        if (!polled)
          return;
        polled->*in_flight = false;
        if (response && response->status == 200)
          handle_body(*polled, response->body);
      },
      max_bytes);
}

void ReportPoller::PollLoad(const std::string& name, Engine& engine) {
  FetchFromEngine(name, engine, "/v1/load", &Engine::load_in_flight,
                  kMaxLoadReportBytes,
                  [this, name](Engine&, const std::string& body) {
                    const auto report = ParseLoadReport(body);
                    if (!report)
                      return;
                    table_.OnLoadReport(name, *report, timers_.Now());
                    on_report_(name, *report);
                  });
}

void ReportPoller::PollEvents(const std::string& name, Engine& engine) {
  const uint64_t from = engine.next_event;
  FetchFromEngine(name, engine, "/v1/cache/events?from=" + std::to_string(from),
                  &Engine::events_in_flight, kMaxEventPageBytes,
                  [this, name, from](Engine& polled, const std::string& body) {
                    const auto page = ParseCacheEvents(body, from);
                    if (!page)
                      return;
                    polled.next_event = page->next;
                    table_.OnCacheEvents(name, page->events, page->gap,
                                         timers_.Now());
                  });
}

}  // namespace teaselhill::router
