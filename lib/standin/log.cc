/// \file
/// HTTP interface of the stand-in log.

#include "teaselhill/standin/log.h"

#include <algorithm>

namespace teaselhill::standin {

namespace {

constexpr uint64_t kMaxRecordsPerRead = 10000;
constexpr uint64_t kMaxWaitMs = 60000;

/// Delay before the timeout of a long poll is checked again during a freeze.
constexpr Duration kFrozenRecheckDelay = std::chrono::milliseconds(20);

uint64_t QueryNumber(const std::map<std::string, std::string>& query,
                     const char* name,
                     uint64_t fallback) {
  const auto found = query.find(name);
  return found == query.end()
             ? fallback
             : std::strtoull(found->second.c_str(), nullptr, 10);
}

/// Returns the stream name in a path `/v1/streams/<stream>/records`, or an
/// empty string for any other path.
std::string StreamNameOf(const std::string& path) {
  constexpr std::string_view kPrefix = "/v1/streams/";
  constexpr std::string_view kSuffix = "/records";
  if (path.size() <= kPrefix.size() + kSuffix.size() ||
      path.compare(0, kPrefix.size(), kPrefix) != 0 ||
      path.compare(path.size() - kSuffix.size(), kSuffix.size(), kSuffix) != 0)
    return "";
  return path.substr(kPrefix.size(),
                     path.size() - kPrefix.size() - kSuffix.size());
}

}  // namespace

void Log::Serve(net::HttpRequest request, Response response) {
  const std::string stream = StreamNameOf(request.path);
  if (stream.empty())
    RespondJson(*response, 404, ErrorBody("no such path"));
  else if (request.method == "POST")
    Append(stream, request, response);
  else if (request.method == "GET")
    Read(stream, request, std::move(response));
  else
    RespondJson(*response, 405, ErrorBody("method must be GET or POST"));
}

void Log::Append(const std::string& stream,
                 const net::HttpRequest& request,
                 const Response& response) {
  Result<std::vector<std::string>> records = ParseAppend(request.body);
  if (!records) {
    RespondJson(*response, 400, ErrorBody(records.error().message));
    return;
  }
  const Result<uint64_t> first =
      store_.Append(stream, std::move(*records), Now(), WallNow());
  if (!first) {
    response->Respond(429, {{"Retry-After", "1"}},
                      ErrorBody(first.error().message));
    return;
  }
  RespondJson(*response, 200,
              "{\"first_offset\":" + std::to_string(*first) + "}");
  AnswerPendingReads(stream);
}

void Log::Read(const std::string& stream,
               const net::HttpRequest& request,
               Response response) {
  const auto query = net::ParseQuery(request.query);
  PendingRead pending;
  pending.stream = stream;
  pending.from = std::max<uint64_t>(1, QueryNumber(query, "from", 1));
  pending.limit =
      std::min(QueryNumber(query, "limit", 1000), kMaxRecordsPerRead);
  pending.response = std::move(response);
  const uint64_t wait_ms =
      std::min(QueryNumber(query, "wait_ms", 0), kMaxWaitMs);
  const Result<LogPage> page =
      store_.Read(stream, pending.from, pending.limit, Now());
  if (wait_ms == 0 || !page || !page->records.empty()) {
    Answer(pending);
    return;
  }
  pending_reads_.push_back(std::move(pending));
  const auto entry = std::prev(pending_reads_.end());
  ArmTimeout(entry, std::chrono::milliseconds(wait_ms));
  entry->response->SetCloseHandler(
      [this, entry] { pending_reads_.erase(entry); });
}

void Log::ArmTimeout(std::list<PendingRead>::iterator entry, Duration delay) {
  entry->timeout = loop_.timers().After(delay, [this, entry](TimePoint now) {
    if (faults_.frozen(now)) {
      ArmTimeout(entry, kFrozenRecheckDelay);
      return;
    }
    const PendingRead ended = std::move(*entry);
    pending_reads_.erase(entry);
    Answer(ended);
  });
}

void Log::Answer(const PendingRead& pending) {
  pending.response->SetCloseHandler(nullptr);
  const Result<LogPage> page =
      store_.Read(pending.stream, pending.from, pending.limit, Now());
  if (page) {
    RespondJson(*pending.response, 200, ToJson(*page));
    return;
  }
  const uint64_t first = store_.first_retained(pending.stream, Now());
  RespondJson(*pending.response, 410,
              "{\"first_retained\":" + std::to_string(first) + "}");
}

void Log::AnswerPendingReads(const std::string& stream) {
  std::list<PendingRead> woken;
  for (auto pending = pending_reads_.begin();
       pending != pending_reads_.end();) {
    const auto next = std::next(pending);
    if (pending->stream == stream)
      woken.splice(woken.end(), pending_reads_, pending);
    pending = next;
  }
  for (const PendingRead& pending : woken)
    Answer(pending);
}

}  // namespace teaselhill::standin
