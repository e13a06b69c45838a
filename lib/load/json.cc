/// \file
/// JSON parsing and formatting for the load generator.

#include "teaselhill/load/json.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "teaselhill/load/plan.h"
#include "teaselhill/load/report.h"

namespace teaselhill::load {

using nlohmann::json;

namespace {

/// Reads the fields of a JSON object. RejectUnknownFields() rejects fields that
/// were not read, so that a misspelt name is not silently replaced by its
/// default.
class Fields {
 public:
  explicit Fields(const json& object) : object_(object) {
    if (!object.is_object())
      throw std::invalid_argument("expected a JSON object");
  }

  template <typename T>
  void Read(const char* name, T* value) {
    if (const json* found = Find(name))
      *value = found->get<T>();
  }

  void ReadTime(const char* name, double unit_s, Duration* value) {
    if (const json* found = Find(name))
      *value = FromSeconds(found->get<double>() * unit_s);
  }

  void ReadTime(const char* name, std::optional<Duration>* value) {
    if (const json* found = Find(name))
      *value = FromSeconds(found->get<double>() * kSecondsPerMillisecond);
  }

  template <typename T, typename Convert>
  void ReadList(const char* name, std::vector<T>* list, Convert convert) {
    if (const json* found = Find(name)) {
      for (const json& entry : *found)
        list->push_back(convert(entry));
    }
  }

  /// Returns the field `name`, or null if the object does not have it.
  const json* Find(const char* name) {
    known_names_.insert(name);
    const auto found = object_.find(name);
    return found == object_.end() ? nullptr : &*found;
  }

  void RejectUnknownFields() const {
    for (const auto& [name, value] : object_.items()) {
      if (known_names_.count(name) == 0)
        throw std::invalid_argument("unknown field " + name);
    }
  }

  static constexpr double kSecondsPerMillisecond = 1e-3;

 private:
  const json& object_;
  std::set<std::string> known_names_;
};

RatePhase ReadRatePhase(const json& from) {
  Fields fields(from);
  RatePhase phase;
  fields.ReadTime("from_s", 1, &phase.from);
  fields.ReadTime("to_s", 1, &phase.to);
  fields.Read("factor", &phase.factor);
  fields.RejectUnknownFields();
  return phase;
}

RouterPhase ReadRouterPhase(const json& from) {
  Fields fields(from);
  RouterPhase phase;
  fields.ReadTime("from_s", 1, &phase.from);
  fields.ReadTime("to_s", 1, &phase.to);
  fields.Read("routers", &phase.routers);
  fields.RejectUnknownFields();
  return phase;
}

HealthCheckPlan ReadHealthChecks(const json& from) {
  Fields fields(from);
  HealthCheckPlan checks;
  fields.Read("path", &checks.path);
  fields.ReadTime("period_s", 1, &checks.period);
  fields.Read("misses", &checks.misses);
  fields.RejectUnknownFields();
  return checks;
}

FaultPlan ReadFault(const json& from) {
  Fields fields(from);
  FaultPlan fault;
  fields.ReadTime("at_s", 1, &fault.inject_at);
  fields.Read("url", &fault.url);
  if (const json* body = fields.Find("body"))
    fault.body = body->dump();
  fields.RejectUnknownFields();
  return fault;
}

KeyKind ReadKeyKind(const std::string& name) {
  static const std::map<std::string, KeyKind> kinds = {
      {"none", KeyKind::kNone},
      {"uuidv7", KeyKind::kUuid7},
      {"token", KeyKind::kToken}};
  const auto kind = kinds.find(name);
  if (kind == kinds.end())
    throw std::invalid_argument("unknown key_kind " + name);
  return kind->second;
}

StreamPlan ReadStream(const json& from) {
  Fields fields(from);
  StreamPlan stream;
  fields.Read("name", &stream.name);
  fields.Read("key", &stream.bearer_key);
  fields.Read("class", &stream.request_class);
  fields.Read("tier", &stream.tier);
  fields.Read("model", &stream.model);
  fields.Read("service", &stream.service);
  fields.Read("path", &stream.path);
  fields.Read("rate", &stream.rate);
  fields.Read("burst_size", &stream.burst_size);
  fields.ReadList("phases", &stream.phases, ReadRatePhase);
  fields.Read("prefix_pool", &stream.prefix_pool);
  fields.Read("prefix_tokens", &stream.prefix_tokens);
  fields.Read("prompt_tokens", &stream.prompt_tokens);
  fields.Read("max_tokens", &stream.max_tokens);
  fields.Read("marker", &stream.marker);
  fields.Read("marker_share", &stream.marker_share);
  fields.ReadTime("target_ms", &stream.target);
  fields.ReadTime("first_token_target_ms", &stream.first_token_target);
  fields.ReadTime("deadline_ms", &stream.deadline);
  fields.Read("disconnect_share", &stream.disconnect_share);
  fields.ReadTime("disconnect_after_ms", Fields::kSecondsPerMillisecond,
                  &stream.disconnect_after);
  fields.Read("resend_share", &stream.resend_share);
  fields.ReadTime("resend_after_ms", Fields::kSecondsPerMillisecond,
                  &stream.resend_after);
  fields.Read("retries", &stream.retries);
  fields.Read("loss_resends", &stream.loss_resends);
  fields.Read("non_idempotent", &stream.non_idempotent);
  fields.Read("streamed", &stream.streamed);
  if (const json* kind = fields.Find("key_kind"))
    stream.key_kind = ReadKeyKind(kind->get<std::string>());
  else if (stream.non_idempotent || stream.resend_share > 0)
    stream.key_kind = KeyKind::kUuid7;
  fields.RejectUnknownFields();
  return stream;
}

Plan ReadPlan(const json& from) {
  Fields fields(from);
  Plan plan;
  fields.Read("seed", &plan.seed);
  fields.ReadTime("duration_s", 1, &plan.duration);
  fields.ReadTime("drain_s", 1, &plan.drain);
  fields.Read("max_requests", &plan.max_requests);
  fields.Read("routers", &plan.routers);
  fields.ReadList("router_phases", &plan.router_phases, ReadRouterPhase);
  if (const json* checks = fields.Find("health_checks"))
    plan.health_checks = ReadHealthChecks(*checks);
  fields.ReadList("streams", &plan.streams, ReadStream);
  fields.ReadList("faults", &plan.faults, ReadFault);
  fields.Read("journals", &plan.journals);
  fields.Read("journal_files", &plan.journal_files);
  fields.RejectUnknownFields();
  return plan;
}

JournaledRun ReadRun(const json& from) {
  return {from.at("request_id").get<std::string>(),
          from.at("key").get<std::string>(),
          from.at("tokens_out").get<uint64_t>()};
}

json PercentilesToJson(const Percentiles& percentiles) {
  return {{"p50", percentiles.p50_ms},
          {"p95", percentiles.p95_ms},
          {"p99", percentiles.p99_ms}};
}

json ClassToJson(const ClassSummary& summary) {
  json object = {{"sent", summary.sent},
                 {"within_target", summary.within_target},
                 {"first_token_ms", PercentilesToJson(summary.first_token)},
                 {"whole_ms", PercentilesToJson(summary.whole)}};
  for (const Ending ending :
       {Ending::kAnswered, Ending::kIncomplete, Ending::kCutShort,
        Ending::kUnknown, Ending::kUnanswered, Ending::kNotRun,
        Ending::kDisconnected}) {
    const auto count = summary.endings.find(ending);
    object[std::string(EndingName(ending))] =
        count == summary.endings.end() ? 0 : count->second;
  }
  return object;
}

}  // namespace

Result<Plan> ParsePlan(std::string_view text) {
  try {
    Plan plan = ReadPlan(json::parse(text));
    const Status checked = CheckPlan(plan);
    if (!checked)
      return checked.error();
    return plan;
  } catch (const std::exception& failure) {
    return {ResultCode::kSettingInvalid, failure.what()};
  }
}

std::optional<StreamEvent> ReadStreamEvent(std::string_view payload) {
  const json parsed = json::parse(payload, nullptr, false);
  if (!parsed.is_object())
    return std::nullopt;
  try {
    StreamEvent event;
    if (const auto error = parsed.find("error"); error != parsed.end()) {
      event.error_outcome = error->value("outcome", "none");
      return event;
    }
    // A chunk that contains only `usage` has no choices.
    const json& choices = parsed.at("choices");
    if (choices.empty())
      return event;
    const json& choice = choices.at(0);
    event.content = choice.at("delta").value("content", "");
    const auto reason = choice.find("finish_reason");
    event.finished = reason != choice.end() && reason->is_string();
    return event;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<std::string> ReadChatContent(std::string_view body) {
  try {
    return json::parse(body)
        .at("choices")
        .at(0)
        .at("message")
        .at("content")
        .get<std::string>();
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<std::string> ReadToken(std::string_view body) {
  try {
    return json::parse(body).at("token").get<std::string>();
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string ChatBody(const std::string& model,
                     const std::string& prompt,
                     uint32_t max_tokens,
                     bool streamed) {
  return json{{"model", model},
              {"messages", {{{"role", "user"}, {"content", prompt}}}},
              {"max_tokens", max_tokens},
              {"stream", streamed}}
      .dump();
}

Status AddJournal(std::string_view text, Journals* journals) {
  try {
    const json parsed = json::parse(text);
    for (const json& run : parsed.at("runs"))
      journals->runs.push_back(ReadRun(run));
    journals->tokens_out += parsed.at("tokens_out").get<uint64_t>();
    ++journals->read;
    return Ok{};
  } catch (const json::exception& failure) {
    return {ResultCode::kMalformedBody, failure.what()};
  }
}

/// Sets the token count from `ended`, the line that a journal file has for the
/// end of a run. The run is the latest one with the same request id and key
/// that has no tokens yet.
static void AddTokens(const JournaledRun& ended, Journals* journals) {
  for (auto run = journals->runs.rbegin(); run != journals->runs.rend();
       ++run) {
    if (run->request_id != ended.request_id || run->key != ended.key ||
        run->tokens_out > 0)
      continue;
    run->tokens_out = ended.tokens_out;
    return;
  }
}

Status AddJournalLines(std::string_view text, Journals* journals) {
  try {
    while (!text.empty()) {
      const size_t end = std::min(text.find('\n'), text.size());
      const json line = json::parse(text.substr(0, end));
      text.remove_prefix(std::min(end + 1, text.size()));
      const JournaledRun run = ReadRun(line);
      // The line for the start of a run identifies the run. The line for its
      // end, which is missing after a crash, has the token count.
      if (line.at("end") == "running")
        journals->runs.push_back(run);
      else
        AddTokens(run, journals);
      journals->tokens_out += run.tokens_out;
    }
    ++journals->read;
    return Ok{};
  } catch (const json::exception& failure) {
    return {ResultCode::kMalformedBody, failure.what()};
  }
}

std::string ToJson(const Summary& summary) {
  json classes = json::object();
  json attainment = json::object();
  json gaps = json::object();
  for (const auto& [name, entry] : summary.classes) {
    classes[name] = ClassToJson(entry);
    attainment[name] = entry.attainment();
    gaps[name] = ToSeconds(entry.longest_gap);
  }
  const double wasted_ratio =
      summary.engine_tokens == 0
          ? 0
          : static_cast<double>(summary.wasted_tokens) /
                static_cast<double>(summary.engine_tokens);
  return json{{"seed", summary.seed},
              {"classes", std::move(classes)},
              {"attainment", std::move(attainment)},
              {"longest_gap_s", std::move(gaps)},
              {"goodput_tokens", summary.goodput_tokens},
              {"wasted_tokens", summary.wasted_tokens},
              {"wasted_ratio", wasted_ratio},
              {"engine_tokens", summary.engine_tokens},
              {"duplicate_runs", summary.duplicate_runs},
              {"incomplete_answers", summary.incomplete_answers},
              {"unanswered", summary.unanswered},
              {"false_not_run", summary.false_not_run},
              {"journals_read", summary.journals_read},
              {"journals_missing", summary.journals_missing}}
      .dump();
}

}  // namespace teaselhill::load
