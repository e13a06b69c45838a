/// \file
/// Parses and formats the JSON messages of the stand-ins.

#ifndef TEASELHILL_STANDIN_MESSAGES_H_
#define TEASELHILL_STANDIN_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "teaselhill/standin/answer.h"
#include "teaselhill/standin/assignment.h"
#include "teaselhill/standin/faults.h"
#include "teaselhill/standin/journal.h"
#include "teaselhill/standin/prefix_cache.h"
#include "teaselhill/support/result.h"

namespace teaselhill::standin {

struct ChatRequest {
  std::string model;
  std::vector<Message> messages;
  uint32_t max_tokens = 256;
  bool stream = false;
};

struct LoadReport {
  size_t running = 0;
  size_t waiting = 0;
  uint32_t max_batch = 0;
  double tokens_per_second = 0;
  Duration age{};
  std::vector<std::string> models;
};

/// KV cache of one request, for export and import.
struct KvExport {
  std::string request_id;
  std::vector<PrefixBlock> blocks;
};

struct LogRecord {
  uint64_t offset = 0;
  int64_t time_ms = 0;
  std::string data;  ///< record as JSON text
};

struct LogPage {
  uint64_t first_retained = 1;
  uint64_t next_offset = 1;
  std::vector<LogRecord> records;
};

// All Parse functions return kMalformedBody for malformed input.
Result<ChatRequest> ParseChatRequest(std::string_view body);
Result<FaultCommand> ParseFault(std::string_view body);
Result<Order> ParseOrder(std::string_view body);
Result<KvExport> ParseKv(std::string_view body);

/// Returns the records of an append request, each as JSON text.
Result<std::vector<std::string>> ParseAppend(std::string_view body);

/// Returns the model named in a fetch request to the weight store.
Result<std::string> ParseFetch(std::string_view body);

/// Returns the time until the fetched weights are ready, from the answer of the
/// weight store.
Result<Duration> ParseFetchAnswer(std::string_view body);

/// Checks that `body` is a well-formed host list.
Status CheckHostList(std::string_view body);

std::string ToJson(const LoadReport& report);
std::string ToJson(const Assignment& assignment);
std::string ToJson(const CacheEvents& events);
std::string ToJson(const KvExport& kv);
std::string ToJson(const Journal& journal);
std::string ToJson(const JournalRun& run);
std::string ToJson(const LogPage& page);

/// Returns the JSON error body `{"error":{"message":...}}`.
std::string ErrorBody(std::string_view message);

}  // namespace teaselhill::standin

#endif  // TEASELHILL_STANDIN_MESSAGES_H_
