/// \file
/// Commands on contracts and assignments.

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "commands.h"
#include "output.h"
#include "teaselhill/config/contract_format.h"
#include "teaselhill/support/hash.h"
#include "teaselhill/support/rng.h"

namespace teaselhill::ctl {

namespace {

using config::Change;
using config::ChangeAction;
using config::kNoRevision;
using config::ObjectKind;
using config::Verdict;
using config::VerdictKind;
using Json = nlohmann::json;

std::string RevisionText(LogOffset revision) {
  return revision == kNoRevision ? "none" : std::to_string(revision);
}

Json RevisionJson(LogOffset revision) {
  return revision == kNoRevision ? Json(nullptr) : Json(revision);
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file)
    return {ResultCode::kFileUnreadable, "cannot read file '" + path + "'"};
  return text.str();
}

Result<LogOffset> ParseBase(const std::string& text) {
  if (text == "none")
    return kNoRevision;
  if (text.empty() || text.size() > 18 ||
      text.find_first_not_of("0123456789") != std::string::npos)
    return {ResultCode::kSettingInvalid,
            "--base '" + text + "' is neither a revision nor 'none'"};
  return LogOffset{std::stoull(text)};
}

std::string NewChangeId() {
  return ToHex({EntropySeed(), EntropySeed()});
}

/// Reads a contract or an assignment into a change.
Result<Change> ReadChange(ObjectKind kind, const std::string& path) {
  const auto text = ReadFile(path);
  if (!text)
    return text.error();
  Change change;
  change.object.kind = kind;
  if (kind == ObjectKind::kContract) {
    auto contract = config::ParseContract(*text);
    if (!contract)
      return contract.error();
    change.object.name = contract->customer;
    change.body = std::move(*contract);
    return change;
  }
  auto assignment = config::ParseAssignment(*text);
  if (!assignment)
    return assignment.error();
  change.object.name = assignment->name;
  change.body = std::move(*assignment);
  return change;
}

std::string Joined(const std::vector<std::string>& parts) {
  std::string joined;
  for (const std::string& part : parts)
    joined += (joined.empty() ? "" : ",") + part;
  return joined;
}

Json VerdictJson(const Verdict& verdict) {
  Json json = {{"offset", verdict.offset},
               {"verdict", config::VerdictName(verdict.kind)},
               {"code", static_cast<int>(config::VerdictCode(verdict.kind))},
               {"change_id", verdict.change_id},
               {"author", verdict.author},
               {"base_revision", RevisionJson(verdict.base_revision)},
               {"reason", verdict.reason}};
  if (verdict.kind == VerdictKind::kConflict) {
    json["current_revision"] = RevisionJson(verdict.current_revision);
    json["current_author"] = verdict.current_author;
  }
  return json;
}

}  // namespace

Status ConfigCommands::Submit(Change change) {
  const Status loaded = session_.Load();
  if (!loaded)
    return loaded;
  change.change_id = NewChangeId();
  change.author = settings_.author;
  change.base_revision = session_.state().Revision(change.object);
  if (!settings_.base.empty()) {
    const auto base = ParseBase(settings_.base);
    if (!base)
      return base.error();
    change.base_revision = *base;
  }
  const auto verdict = session_.Submit(change);
  return verdict ? PrintVerdict(*verdict) : Status(verdict.error());
}

Status ConfigCommands::PrintVerdict(const Verdict& verdict) {
  if (settings_.json)
    out_ << VerdictJson(verdict).dump() << "\n";
  const ResultCode code = config::VerdictCode(verdict.kind);
  if (code != ResultCode::kOk)
    return {code, std::string(config::VerdictName(verdict.kind)) + ": " +
                      verdict.reason};
  if (!settings_.json)
    out_ << "accepted " << config::DescribeObject(*verdict.object)
         << " at revision " << verdict.offset << "\n";
  return Ok{};
}

Status ConfigCommands::Put(ObjectKind kind) {
  auto change = ReadChange(kind, settings_.file);
  return change ? Submit(std::move(*change)) : Status(change.error());
}

Status ConfigCommands::Delete(ObjectKind kind) {
  Change change;
  change.object = {kind, settings_.name};
  change.action = ChangeAction::kDelete;
  return Submit(std::move(change));
}

Status ConfigCommands::SetDraining(bool draining) {
  const Status loaded = session_.Load();
  if (!loaded)
    return loaded;
  const auto view = session_.state().View();
  const auto found = view->assignments.find(settings_.name);
  if (found == view->assignments.end() || !found->second.assignment)
    return {ResultCode::kContractNotFound,
            "no assignment '" + settings_.name + "'"};
  Change change;
  change.object = {ObjectKind::kAssignment, settings_.name};
  config::UpstreamAssignment assignment = *found->second.assignment;
  assignment.draining = draining;
  change.body = std::move(assignment);
  return Submit(std::move(change));
}

Status ConfigCommands::Show(ObjectKind kind) {
  const Status loaded = session_.Load();
  if (!loaded)
    return loaded;
  const auto view = session_.state().View();
  const Error missing{ResultCode::kContractNotFound,
                      "no " + config::DescribeObject({kind, settings_.name})};
  std::string text;
  LogOffset revision = 0;
  std::string author;
  bool closed = false;
  if (kind == ObjectKind::kContract) {
    const auto* entry = view->FindContract(settings_.name);
    if (!entry)
      return missing;
    text = entry->contract ? FormatContract(*entry->contract) : "null\n";
    revision = entry->revision;
    author = entry->author;
    closed = entry->closed;
  } else {
    const auto found = view->assignments.find(settings_.name);
    if (found == view->assignments.end())
      return missing;
    text = found->second.assignment
               ? FormatAssignment(*found->second.assignment)
               : "null\n";
    revision = found->second.revision;
    author = found->second.author;
    closed = found->second.closed;
  }
  if (settings_.json) {
    out_ << Json{{"revision", revision},
                 {"author", author},
                 {"closed", closed},
                 {"body", Json::parse(text)}}
                .dump()
         << "\n";
    return Ok{};
  }
  // The head is a comment, so that the output is a valid file for `put`.
  out_ << "// revision " << revision << " by " << author
       << (closed ? ", closed: its latest record cannot be read" : "") << "\n"
       << text;
  return Ok{};
}

Status ConfigCommands::List(ObjectKind kind) {
  const Status loaded = session_.Load();
  if (!loaded)
    return loaded;
  const auto view = session_.state().View();
  const bool contracts = kind == ObjectKind::kContract;
  const Row head = contracts ? Row{"CUSTOMER", "REVISION", "AUTHOR", "STATE",
                                   "TEAMS",    "CLASSES",  "MODELS"}
                             : Row{"UPSTREAM", "REVISION", "AUTHOR", "STATE",
                                   "DOMAIN",   "URL",      "SERVES"};
  std::vector<Row> rows;
  if (contracts) {
    for (const auto& [name, entry] : view->contracts)
      rows.push_back(
          {name, std::to_string(entry.revision), entry.author,
           entry.closed ? "closed" : "open",
           std::to_string(entry.contract ? entry.contract->teams.size() : 0),
           std::to_string(entry.contract ? entry.contract->classes.size() : 0),
           entry.contract ? Joined(entry.contract->models) : ""});
  } else {
    const config::UpstreamAssignment none;
    for (const auto& [name, entry] : view->assignments) {
      const auto& a = entry.assignment ? *entry.assignment : none;
      rows.push_back({name, std::to_string(entry.revision), entry.author,
                      entry.closed ? "closed"
                      : a.draining ? "draining"
                                   : "active",
                      a.domain, a.url,
                      a.kind == config::UpstreamKind::kService
                          ? a.service
                          : Joined(a.models)});
    }
  }
  if (!settings_.json) {
    PrintTable(head, rows, out_);
    return Ok{};
  }
  Json list = Json::array();
  for (const Row& row : rows)
    list.push_back({{"name", row[0]},
                    {"revision", std::stoull(row[1])},
                    {"author", row[2]},
                    {"state", row[3]}});
  if (!contracts) {
    for (size_t i = 0; i < rows.size(); ++i) {
      list[i]["domain"] = rows[i][4];
      list[i]["url"] = rows[i][5];
      list[i]["serves"] = rows[i][6];
    }
  }
  out_ << list.dump() << "\n";
  return Ok{};
}

Status ConfigCommands::History(ObjectKind kind) {
  const Status loaded = session_.Load();
  if (!loaded)
    return loaded;
  const auto history = session_.state().History({kind, settings_.name});
  if (history.empty())
    return {ResultCode::kContractNotFound,
            "no verdicts on " + config::DescribeObject({kind, settings_.name})};
  std::vector<Row> rows;
  Json list = Json::array();
  for (const Verdict& verdict : history) {
    rows.push_back({std::to_string(verdict.offset),
                    verdict.action == ChangeAction::kPut ? "put" : "delete",
                    std::string(config::VerdictName(verdict.kind)),
                    RevisionText(verdict.base_revision), verdict.author,
                    verdict.reason});
    list.push_back(VerdictJson(verdict));
  }
  if (settings_.json)
    out_ << list.dump() << "\n";
  else
    PrintTable({"OFFSET", "ACTION", "VERDICT", "BASE", "AUTHOR", "REASON"},
               rows, out_);
  return Ok{};
}

Status CheckFile(const Settings& settings, std::ostream& out) {
  const auto change = ReadChange(ObjectKind::kContract, settings.file);
  if (!change)
    return change.error();
  if (settings.json)
    out << Json{{"customer", change->object.name}, {"valid", true}}.dump()
        << "\n";
  else
    out << config::DescribeObject(change->object) << " follows the format\n";
  return Ok{};
}

}  // namespace teaselhill::ctl
