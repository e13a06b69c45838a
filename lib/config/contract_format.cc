/// \file
/// Parsing, validation and formatting of contracts and assignments.

#include "teaselhill/config/contract_format.h"

#include <algorithm>
#include <set>
#include <vector>

#include "codec.h"
#include "field_reader.h"

namespace teaselhill::config {

namespace {

constexpr size_t kMaxNameLength = 64;
constexpr size_t kMaxModelLength = 128;
constexpr double kMaxWeight = 1e6;
constexpr double kMaxRate = 1e9;
constexpr int kMaxConcurrency = 1'000'000;
constexpr Duration kMaxDuration = std::chrono::hours(24);
constexpr int kMaxFractionDigits = 9;
constexpr int kMaxWholeDigits = 14;
constexpr int kMaxPort = 65535;

struct DurationUnit {
  std::string_view suffix;
  int64_t nanoseconds;
};

/// From the largest to the smallest unit.
constexpr DurationUnit kDurationUnits[] = {{"m", 60'000'000'000},
                                           {"s", 1'000'000'000},
                                           {"ms", 1'000'000},
                                           {"us", 1'000},
                                           {"ns", 1}};

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

bool IsNameCharacter(char c) {
  return IsDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         c == '.' || c == '_' || c == '-';
}

/// In addition to the characters that IsName() accepts, model names may contain
/// `/`, `:`, `@` and `+`.
bool IsModelName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxModelLength &&
         std::all_of(name.begin(), name.end(), [](char c) {
           return IsNameCharacter(c) ||
                  std::string_view("/:@+").find(c) != std::string_view::npos;
         });
}

bool IsKeyHash(std::string_view text) {
  return text.size() == 64 && std::all_of(text.begin(), text.end(), [](char c) {
           return IsDigit(c) || (c >= 'a' && c <= 'f');
         });
}

Limits ReadLimits(FieldReader& parent, ValidationErrors* errors) {
  Limits limits;
  const Json* json = parent.Find("limits");
  if (!json)
    return limits;
  FieldReader fields(*json, parent.PathOf("limits"), errors);
  limits.requests_per_second =
      fields.ReadNumber("requests_per_second", 0, 0, kMaxRate);
  limits.tokens_per_second =
      fields.ReadNumber("tokens_per_second", 0, 0, kMaxRate);
  limits.concurrency = fields.ReadInteger("concurrency", 0, 0, kMaxConcurrency);
  fields.ReportUnknownFields();
  return limits;
}

Team ReadTeam(const Json& json,
              const std::string& path,
              ValidationErrors* errors) {
  FieldReader fields(json, path, errors);
  Team team;
  team.name = fields.ReadName("name");
  team.weight = fields.ReadNumber("weight", 1, 1 / kMaxWeight, kMaxWeight);
  team.key_hashes = fields.ReadStrings(
      "key_hashes", &IsKeyHash,
      "must be a SHA-256 in 64 lower-case hexadecimal digits");
  fields.ReportUnknownFields();
  return team;
}

ClassPolicy ReadClass(const Json& json,
                      const std::string& path,
                      ValidationErrors* errors) {
  FieldReader fields(json, path, errors);
  ClassPolicy policy;
  policy.name = fields.ReadName("name");
  if (!fields.Find("tier") && json.is_object())
    fields.AddError("tier", "is missing");
  policy.tier = fields.ReadInteger("tier", kMaxTier, kUrgentTier, kMaxTier);
  policy.target_total = fields.ReadDuration("target_total");
  policy.target_first_token = fields.ReadDuration("target_first_token");
  policy.target_between_tokens = fields.ReadDuration("target_between_tokens");
  policy.default_deadline = fields.ReadDuration("default_deadline");
  policy.idempotent = fields.ReadBool("idempotent", true);
  fields.ReportUnknownFields();
  return policy;
}

/// Reports duplicate names and keys, missing classes and a default class that
/// is not in the contract.
void CheckContract(const Contract& contract, ValidationErrors* errors) {
  std::set<std::string> class_names;
  for (size_t i = 0; i < contract.classes.size(); ++i)
    if (!class_names.insert(contract.classes[i].name).second)
      errors->Add(IndexedPath("classes", i) + ".name",
                  "'" + contract.classes[i].name + "' is used twice");
  if (contract.classes.empty())
    errors->Add("classes", "must name at least one class");
  else if (class_names.count(contract.default_class) == 0)
    errors->Add("default_class",
                "'" + contract.default_class + "' is not in classes");
  std::set<std::string> team_names;
  std::set<std::string> keys;
  for (size_t i = 0; i < contract.teams.size(); ++i) {
    const Team& team = contract.teams[i];
    if (!team_names.insert(team.name).second)
      errors->Add(IndexedPath("teams", i) + ".name",
                  "'" + team.name + "' is used twice");
    for (size_t k = 0; k < team.key_hashes.size(); ++k)
      if (!team.key_hashes[k].empty() &&
          !keys.insert(team.key_hashes[k]).second)
        errors->Add(IndexedPath(IndexedPath("teams", i) + ".key_hashes", k),
                    "belongs to two teams or is listed twice");
  }
}

/// Returns whether `url` is http://address:port or https://address:port.
bool IsUpstreamUrl(const std::string& url) {
  const size_t scheme = url.find("://");
  if (scheme == std::string::npos ||
      (url.substr(0, scheme) != "http" && url.substr(0, scheme) != "https"))
    return false;
  const std::string rest = url.substr(scheme + 3);
  const size_t colon = rest.rfind(':');
  if (colon == std::string::npos || colon == 0)
    return false;
  const std::string address = rest.substr(0, colon);
  const std::string port = rest.substr(colon + 1);
  if (port.empty() || port.size() > 5 ||
      !std::all_of(port.begin(), port.end(), IsDigit))
    return false;
  const int number = std::stoi(port);
  return number > 0 && number <= kMaxPort &&
         address.find_first_not_of("0123456789abcdefABCDEF.:[]") ==
             std::string::npos;
}

/// Parser callback that reports duplicate fields of an object. Without this
/// check, the JSON library would silently use the last of the duplicates.
class DuplicateFieldCheck {
 public:
  explicit DuplicateFieldCheck(ValidationErrors* errors) : errors_(errors) {}

  bool operator()(int depth, Json::parse_event_t event, Json& parsed) {
    if (event == Json::parse_event_t::object_start) {
      open_objects_.emplace_back();
    } else if (event == Json::parse_event_t::object_end) {
      open_objects_.pop_back();
    } else if (event == Json::parse_event_t::key && !open_objects_.empty() &&
               !open_objects_.back().insert(parsed.get<std::string>()).second) {
      errors_->Add(parsed.get<std::string>(), "appears twice in one object");
    }
    return true;
  }

 private:
  ValidationErrors* errors_;
  std::vector<std::set<std::string>> open_objects_;
};

/// Parses JSON with comments. A syntax error is reported with its line and
/// column.
Json ParseText(std::string_view text, ValidationErrors* errors) {
  try {
    DuplicateFieldCheck check(errors);
    return Json::parse(
        text.begin(), text.end(),
        [&check](int depth, Json::parse_event_t event, Json& parsed) {
          return check(depth, event, parsed);
        },
        true, true);
  } catch (const Json::exception& e) {
    // The library's message is `[json.exception...] parse error at line ...`.
    std::string message = e.what();
    const size_t bracket = message.find("] ");
    if (bracket != std::string::npos)
      message.erase(0, bracket + 2);
    errors->Add("syntax", message);
    return nullptr;
  }
}

template <typename Object>
Result<Object> ParseObject(std::string_view text,
                           Object (*read)(const Json&, ValidationErrors*)) {
  ValidationErrors errors;
  const Json json = ParseText(text, &errors);
  if (!errors.empty())
    return {ResultCode::kChangeInvalid, errors.text()};
  Object object = read(json, &errors);
  if (!errors.empty())
    return {ResultCode::kChangeInvalid, errors.text()};
  return object;
}

void PutDuration(Json* json, const char* field, Duration duration) {
  if (duration != Duration{})
    (*json)[field] = FormatDuration(duration);
}

}  // namespace

bool IsName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), &IsNameCharacter);
}

Contract ReadContract(const Json& json, ValidationErrors* errors) {
  FieldReader fields(json, "", errors);
  Contract contract;
  contract.customer = fields.ReadName("customer");
  contract.weight = fields.ReadNumber("weight", 1, 1 / kMaxWeight, kMaxWeight);
  contract.limits = ReadLimits(fields, errors);
  const Json& teams = fields.FindArray("teams");
  for (size_t i = 0; i < teams.size(); ++i)
    contract.teams.push_back(
        ReadTeam(teams[i], IndexedPath("teams", i), errors));
  const Json& classes = fields.FindArray("classes");
  for (size_t i = 0; i < classes.size(); ++i)
    contract.classes.push_back(
        ReadClass(classes[i], IndexedPath("classes", i), errors));
  contract.default_class = fields.ReadString("default_class", true);
  contract.models = fields.ReadStrings(
      "models", &IsModelName,
      "must be a model name of 1 to 128 characters without spaces");
  contract.services =
      fields.ReadStrings("services", &IsName,
                         "must be 1 to 64 letters, digits, '.', '_' "
                         "or '-'");
  fields.ReportUnknownFields();
  if (json.is_object())
    CheckContract(contract, errors);
  return contract;
}

UpstreamAssignment ReadAssignment(const Json& json, ValidationErrors* errors) {
  FieldReader fields(json, "", errors);
  UpstreamAssignment assignment;
  assignment.name = fields.ReadName("name");
  assignment.url = fields.ReadString("url", true);
  if (!assignment.url.empty() && !IsUpstreamUrl(assignment.url))
    fields.AddError("url",
                    "must be http://address:port or https://address:port");
  assignment.domain = fields.ReadName("domain");
  const std::string kind = fields.ReadString("kind", true);
  if (kind == "service")
    assignment.kind = UpstreamKind::kService;
  else if (kind != "engine" && !kind.empty())
    fields.AddError("kind", "must be \"engine\" or \"service\"");
  assignment.models = fields.ReadStrings(
      "models", &IsModelName,
      "must be a model name of 1 to 128 characters without spaces");
  assignment.service = fields.ReadString("service", false);
  const bool is_service = assignment.kind == UpstreamKind::kService;
  if (is_service && !IsName(assignment.service))
    fields.AddError("service", "must name the service of a plain service");
  if (!is_service && !assignment.service.empty())
    fields.AddError("service", "only a plain service has one");
  if (is_service && !assignment.models.empty())
    fields.AddError("models", "only an engine has them");
  assignment.max_concurrency =
      fields.ReadInteger("max_concurrency", 0, 0, kMaxConcurrency);
  assignment.draining = fields.ReadBool("draining", false);
  assignment.checks_fencing = fields.ReadBool("checks_fencing", true);
  fields.ReportUnknownFields();
  return assignment;
}

Json ToJson(const Contract& contract) {
  Json json = {{"customer", contract.customer},
               {"weight", contract.weight},
               {"default_class", contract.default_class},
               {"models", contract.models},
               {"services", contract.services},
               {"teams", Json::array()},
               {"classes", Json::array()}};
  json["limits"] = {
      {"requests_per_second", contract.limits.requests_per_second},
      {"tokens_per_second", contract.limits.tokens_per_second},
      {"concurrency", contract.limits.concurrency}};
  for (const Team& team : contract.teams)
    json["teams"].push_back({{"name", team.name},
                             {"weight", team.weight},
                             {"key_hashes", team.key_hashes}});
  for (const ClassPolicy& policy : contract.classes) {
    Json entry = {{"name", policy.name},
                  {"tier", policy.tier},
                  {"idempotent", policy.idempotent}};
    PutDuration(&entry, "target_total", policy.target_total);
    PutDuration(&entry, "target_first_token", policy.target_first_token);
    PutDuration(&entry, "target_between_tokens", policy.target_between_tokens);
    PutDuration(&entry, "default_deadline", policy.default_deadline);
    json["classes"].push_back(std::move(entry));
  }
  return json;
}

Json ToJson(const UpstreamAssignment& assignment) {
  const bool is_service = assignment.kind == UpstreamKind::kService;
  Json json = {{"name", assignment.name},
               {"url", assignment.url},
               {"domain", assignment.domain},
               {"kind", is_service ? "service" : "engine"},
               {"max_concurrency", assignment.max_concurrency},
               {"draining", assignment.draining},
               {"checks_fencing", assignment.checks_fencing}};
  if (is_service)
    json["service"] = assignment.service;
  else
    json["models"] = assignment.models;
  return json;
}

Result<Contract> ParseContract(std::string_view text) {
  return ParseObject<Contract>(text, &ReadContract);
}

Result<UpstreamAssignment> ParseAssignment(std::string_view text) {
  return ParseObject<UpstreamAssignment>(text, &ReadAssignment);
}

std::string FormatContract(const Contract& contract) {
  return ToJson(contract).dump(2) + "\n";
}

std::string FormatAssignment(const UpstreamAssignment& assignment) {
  return ToJson(assignment).dump(2) + "\n";
}

Result<Duration> ParseDuration(std::string_view text) {
  const Error error{ResultCode::kChangeInvalid,
                    "'" + std::string(text) +
                        "' is not a duration such as 1800ms, 2s or 5m, at most "
                        "one day"};
  size_t position = 0;
  int64_t whole = 0;
  while (position < text.size() && IsDigit(text[position]) &&
         position < kMaxWholeDigits)
    whole = whole * 10 + (text[position++] - '0');
  if (position == 0)
    return error;
  int64_t fraction = 0;
  int64_t fraction_scale = 1;
  if (position < text.size() && text[position] == '.') {
    const size_t start = ++position;
    while (position < text.size() && IsDigit(text[position]) &&
           position - start < kMaxFractionDigits) {
      fraction = fraction * 10 + (text[position++] - '0');
      fraction_scale *= 10;
    }
    if (position == start)
      return error;
  }
  const std::string_view suffix = text.substr(position);
  if (suffix.empty() && whole == 0 && fraction == 0)
    return Duration{};
  for (const DurationUnit& unit : kDurationUnits) {
    if (suffix != unit.suffix)
      continue;
    if (whole > kMaxDuration.count() / unit.nanoseconds)
      return error;
    const int64_t scaled = static_cast<int64_t>(
        static_cast<__int128>(fraction) * unit.nanoseconds / fraction_scale);
    const Duration duration(whole * unit.nanoseconds + scaled);
    return duration > kMaxDuration ? Result<Duration>(error) : duration;
  }
  return error;
}

std::string FormatDuration(Duration duration) {
  if (duration == Duration{})
    return "0s";
  for (const DurationUnit& unit : kDurationUnits)
    if (duration.count() % unit.nanoseconds == 0)
      return std::to_string(duration.count() / unit.nanoseconds) +
             std::string(unit.suffix);
  return "0s";
}

}  // namespace teaselhill::config
