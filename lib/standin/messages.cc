/// \file
/// JSON parsing and formatting for the stand-ins.

#include "teaselhill/standin/messages.h"

#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>

namespace teaselhill::standin {

using nlohmann::json;

namespace {

constexpr uint32_t kMaxTokensLimit = 1 << 20;

/// Parses `body` as JSON and converts the result with `convert`. Returns
/// kMalformedBody if the parsing or the conversion fails.
template <typename T, typename Convert>
Result<T> Parse(std::string_view body, Convert convert) {
  try {
    return convert(json::parse(body));
  } catch (const json::exception& failure) {
    return {ResultCode::kMalformedBody, failure.what()};
  }
}

Duration Milliseconds(const json& object, const char* name) {
  return FromSeconds(object.value(name, 0.0) / 1000);
}

std::string Hex(uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(value));
  return text;
}

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json RunToJson(const JournalRun& run) {
  static const std::map<RunEnd, const char*> ends = {
      {RunEnd::kRunning, "running"},
      {RunEnd::kFinished, "finished"},
      {RunEnd::kCancelled, "cancelled"}};
  return {{"request_id", run.request_id}, {"key", run.key},
          {"model", run.model},           {"started_ms", run.started_ms},
          {"tokens_out", run.tokens_out}, {"end", ends.at(run.end)}};
}

}  // namespace

Result<ChatRequest> ParseChatRequest(std::string_view body) {
  return Parse<ChatRequest>(body, [](const json& from) -> Result<ChatRequest> {
    ChatRequest request;
    request.model = from.at("model").get<std::string>();
    for (const json& message : from.at("messages")) {
      request.messages.push_back({message.at("role").get<std::string>(),
                                  message.at("content").get<std::string>()});
    }
    request.max_tokens = from.value("max_tokens", request.max_tokens);
    request.stream = from.value("stream", false);
    if (request.max_tokens == 0 || request.max_tokens > kMaxTokensLimit)
      return {ResultCode::kMalformedBody, "max_tokens is out of range"};
    return request;
  });
}

Result<FaultCommand> ParseFault(std::string_view body) {
  static const std::map<std::string, FaultKind> kinds = {
      {"freeze", FaultKind::kFreeze},  {"slow", FaultKind::kSlow},
      {"crash", FaultKind::kCrash},    {"crash_on", FaultKind::kCrashOn},
      {"refuse", FaultKind::kRefuse},  {"lose_answer", FaultKind::kLoseAnswer},
      {"cut_off", FaultKind::kCutOff}, {"clear", FaultKind::kClear}};
  return Parse<FaultCommand>(
      body, [](const json& from) -> Result<FaultCommand> {
        const auto kind = kinds.find(from.at("kind").get<std::string>());
        if (kind == kinds.end())
          return {ResultCode::kMalformedBody, "unknown kind of fault"};
        FaultCommand command;
        command.kind = kind->second;
        command.for_time = Milliseconds(from, "for_ms");
        command.factor = from.value("factor", 1.0);
        command.probability = from.value("probability", 1.0);
        command.marker = from.value("marker", "");
        command.addresses = from.value("addresses", std::vector<std::string>());
        if (command.factor <= 0)
          return {ResultCode::kMalformedBody, "factor must be positive"};
        return command;
      });
}

Result<Order> ParseOrder(std::string_view body) {
  static const std::map<std::string, OrderKind> kinds = {
      {"load_model", OrderKind::kLoadModel},
      {"unload_model", OrderKind::kUnloadModel},
      {"load_adapter", OrderKind::kLoadAdapter},
      {"set_role", OrderKind::kSetRole}};
  return Parse<Order>(body, [](const json& from) -> Result<Order> {
    const auto kind = kinds.find(from.at("kind").get<std::string>());
    if (kind == kinds.end())
      return {ResultCode::kMalformedBody, "unknown kind of order"};
    Order order;
    order.kind = kind->second;
    order.fencing = from.at("fencing").get<uint64_t>();
    order.model = from.value("model", "");
    order.version = from.value("version", "");
    order.adapter = from.value("adapter", "");
    order.role = from.value("role", "");
    return order;
  });
}

Result<KvExport> ParseKv(std::string_view body) {
  return Parse<KvExport>(body, [](const json& from) -> Result<KvExport> {
    KvExport kv;
    kv.request_id = from.at("request_id").get<std::string>();
    for (const json& block : from.at("blocks")) {
      const std::string hash = block.at("prefix_hash").get<std::string>();
      char* end = nullptr;
      kv.blocks.push_back({std::strtoull(hash.c_str(), &end, 16),
                           block.at("tokens").get<uint32_t>()});
      if (hash.empty() || *end != 0)
        return {ResultCode::kMalformedBody, "prefix_hash is not hexadecimal"};
    }
    return kv;
  });
}

Result<std::vector<std::string>> ParseAppend(std::string_view body) {
  using Records = std::vector<std::string>;
  return Parse<Records>(body, [](const json& from) -> Result<Records> {
    Records records;
    for (const json& record : from.at("records"))
      records.push_back(Dump(record));
    if (records.empty())
      return {ResultCode::kMalformedBody, "no records"};
    return records;
  });
}

Result<std::string> ParseFetch(std::string_view body) {
  return Parse<std::string>(body, [](const json& from) -> Result<std::string> {
    return from.at("model").get<std::string>();
  });
}

Result<Duration> ParseFetchAnswer(std::string_view body) {
  return Parse<Duration>(body, [](const json& from) -> Result<Duration> {
    return FromSeconds(from.at("ready_in_ms").get<double>() / 1000);
  });
}

Status CheckHostList(std::string_view body) {
  return Parse<Ok>(body, [](const json& from) -> Status {
    for (const char* name : {"hosts", "upstreams"}) {
      for (const json& entry : from.at(name)) {
        entry.at("name").get<std::string>();
        const std::string state = entry.at("state").get<std::string>();
        if (state != "live" && state != "leaving")
          return {ResultCode::kMalformedBody, "state is not live or leaving"};
      }
    }
    return Ok{};
  });
}

std::string ToJson(const LoadReport& report) {
  return Dump(
      {{"running", report.running},
       {"waiting", report.waiting},
       {"max_batch", report.max_batch},
       {"tokens_per_second", report.tokens_per_second},
       {"report_age_ms", static_cast<int64_t>(ToMilliseconds(report.age))},
       {"models", report.models}});
}

std::string ToJson(const Assignment& assignment) {
  json models = json::array();
  for (const auto& [name, model] : assignment.models()) {
    models.push_back({{"name", name},
                      {"version", model.version},
                      {"state", model.ready ? "ready" : "loading"},
                      {"adapters", model.adapters}});
  }
  return Dump({{"fencing", assignment.fencing()},
               {"role", assignment.role()},
               {"models", std::move(models)}});
}

std::string ToJson(const CacheEvents& events) {
  json list = json::array();
  for (const CacheEvent& event : events.events) {
    list.push_back({{"seq", event.seq},
                    {"kind", event.stored ? "stored" : "evicted"},
                    {"prefix_hash", Hex(event.block.hash)},
                    {"tokens", event.block.tokens}});
  }
  return Dump({{"next", events.next}, {"events", std::move(list)}});
}

std::string ToJson(const KvExport& kv) {
  json blocks = json::array();
  for (const PrefixBlock& block : kv.blocks) {
    blocks.push_back(
        {{"prefix_hash", Hex(block.hash)}, {"tokens", block.tokens}});
  }
  return Dump({{"request_id", kv.request_id}, {"blocks", std::move(blocks)}});
}

std::string ToJson(const JournalRun& run) {
  return Dump(RunToJson(run));
}

std::string ToJson(const Journal& journal) {
  json runs = json::array();
  for (const JournalRun& run : journal.runs())
    runs.push_back(RunToJson(run));
  return Dump({{"runs", std::move(runs)},
               {"tokens_out", journal.tokens_out()},
               {"prefill_tokens", journal.prefill_tokens()},
               {"dropped_runs", journal.dropped()}});
}

std::string ToJson(const LogPage& page) {
  std::string text =
      "{\"first_retained\":" + std::to_string(page.first_retained) +
      ",\"next_offset\":" + std::to_string(page.next_offset) + ",\"records\":[";
  for (const LogRecord& record : page.records) {
    if (text.back() != '[')
      text += ',';
    text += "{\"offset\":" + std::to_string(record.offset) +
            ",\"time_ms\":" + std::to_string(record.time_ms) +
            ",\"data\":" + record.data + "}";
  }
  return text + "]}";
}

std::string ErrorBody(std::string_view message) {
  return Dump({{"error", {{"message", message}}}});
}

}  // namespace teaselhill::standin
