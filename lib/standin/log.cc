/// \file
/// HTTP interface of the stand-in log.

#include "teaselhill/standin/log.h"

#include <algorithm>

namespace teaselhill::standin {

namespace {

constexpr uint64_t kMaxLimit = 10000;
constexpr uint64_t kMaxWaitMs = 60000;

/// Delay before the timeout of a long poll is checked again during a freeze.
constexpr Duration kFrozenRetry = std::chrono::milliseconds(20);

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
std::string StreamOf(const std::string& path) {
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
  const std::string stream = StreamOf(request.path);
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
  WakeReaders(stream);
}

void Log::Read(const std::string& stream,
               const net::HttpRequest& request,
               Response response) {
  const auto query = net::ParseQuery(request.query);
  Reader reader;
  reader.stream = stream;
  reader.from = std::max<uint64_t>(1, QueryNumber(query, "from", 1));
  reader.limit = std::min(QueryNumber(query, "limit", 1000), kMaxLimit);
  reader.response = std::move(response);
  const uint64_t wait_ms =
      std::min(QueryNumber(query, "wait_ms", 0), kMaxWaitMs);
  const Result<LogPage> page =
      store_.Read(stream, reader.from, reader.limit, Now());
  if (wait_ms == 0 || !page || !page->records.empty()) {
    Answer(reader);
    return;
  }
  readers_.push_back(std::move(reader));
  const auto entry = std::prev(readers_.end());
  ArmTimeout(entry, std::chrono::milliseconds(wait_ms));
  entry->response->SetCloseHandler([this, entry] { readers_.erase(entry); });
}

void Log::ArmTimeout(std::list<Reader>::iterator entry, Duration delay) {
  entry->timeout = loop_.timers().After(delay, [this, entry](TimePoint now) {
    if (faults_.frozen(now)) {
      ArmTimeout(entry, kFrozenRetry);
      return;
    }
    const Reader ended = std::move(*entry);
    readers_.erase(entry);
    Answer(ended);
  });
}

void Log::Answer(const Reader& reader) {
  reader.response->SetCloseHandler(nullptr);
  const Result<LogPage> page =
      store_.Read(reader.stream, reader.from, reader.limit, Now());
  if (page) {
    RespondJson(*reader.response, 200, ToJson(*page));
    return;
  }
  const uint64_t first = store_.first_retained(reader.stream, Now());
  RespondJson(*reader.response, 410,
              "{\"first_retained\":" + std::to_string(first) + "}");
}

void Log::WakeReaders(const std::string& stream) {
  std::list<Reader> woken;
  for (auto reader = readers_.begin(); reader != readers_.end();) {
    const auto next = std::next(reader);
    if (reader->stream == stream)
      woken.splice(woken.end(), readers_, reader);
    reader = next;
  }
  for (const Reader& reader : woken)
    Answer(reader);
}

}  // namespace teaselhill::standin
