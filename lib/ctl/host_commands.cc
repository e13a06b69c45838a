/// \file
/// Commands that ask the hosts' admin API.

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

#include "commands.h"
#include "output.h"
#include "teaselhill/config/contract_format.h"
#include "teaselhill/net/http_client.h"

namespace teaselhill::ctl {

namespace {

using Json = nlohmann::json;

constexpr Duration kHostTimeout = std::chrono::seconds(3);
constexpr Duration kWaitStep = std::chrono::milliseconds(200);
constexpr size_t kHostColumns = 10;
/// A host of the largest size lists some thousand upstreams.
constexpr size_t kMaxAnswerBytes = 16 << 20;
constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;

Result<Json> AskHost(const Settings& settings,
                     const std::string& host,
                     const std::string& path) {
  net::ClientRequest request;
  request.url = host.substr(0, host.find_last_not_of('/') + 1) + path;
  request.total_timeout = kHostTimeout;
  request.ca_file = settings.tls_ca;
  request.headers = {{"Authorization", "Bearer " + settings.operator_key}};
  const auto answer = net::BlockingFetch(std::move(request), kMaxAnswerBytes);
  if (!answer)
    return answer.error();
  const std::string text = "answered " + std::to_string(answer->status);
  if (answer->status == kUnauthorized || answer->status == kForbidden)
    return {ResultCode::kNotPermitted,
            text + (settings.operator_key.empty()
                        ? ": name the operator key with --operator-key"
                        : ": it does not know this operator key")};
  if (answer->status == kNotFound)
    return {ResultCode::kUnknownPath,
            text + ": this is no admin port of a host"};
  Json json = Json::parse(answer->body, nullptr, false);
  if (answer->status != kOk || !json.is_object())
    return {ResultCode::kProtocolError, text};
  return json;
}

Status NeedHosts(const Settings& settings) {
  if (settings.hosts.empty())
    return {ResultCode::kSettingInvalid, "name at least one host with --host"};
  return Ok{};
}

/// Returns a field as text: strings without quotes, other values as JSON.
std::string Cell(const Json& json, const char* field) {
  if (!json.is_object() || !json.contains(field))
    return "-";
  const Json& value = json[field];
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string Rounded(const Json& json, const char* field) {
  if (!json.is_object() || !json.contains(field) || !json[field].is_number())
    return "-";
  std::ostringstream text;
  text << std::fixed << std::setprecision(1) << json[field].get<double>();
  return text.str();
}

std::string YesNo(const Json& json, const char* field) {
  const std::string cell = Cell(json, field);
  return cell == "true" ? "yes" : cell == "false" ? "no" : cell;
}

std::string StateCell(const Json& status) {
  if (Cell(status, "draining") == "true")
    return "draining";
  return Cell(status, "ready") == "true" ? "ready" : "not ready";
}

/// Returns how many of the other hosts are alive, for instance `3/4`.
std::string PeersCell(const Json& status) {
  size_t alive = 0;
  const Json members = status.value("members", Json::array());
  for (const Json& member : members)
    alive += Cell(member, "state") == "alive" ? 1 : 0;
  return std::to_string(alive) + "/" + std::to_string(members.size());
}

std::string QueuedCell(const Json& status) {
  uint64_t queued = 0;
  for (const Json& tier : status.value("queues", Json::array()))
    queued += tier.value("queued", uint64_t{0});
  return std::to_string(queued);
}

Row HostRow(const Json& status) {
  return {Cell(status, "host"),
          Cell(status, "domain"),
          StateCell(status),
          Cell(status, "config_offset"),
          YesNo(status, "log_reachable"),
          PeersCell(status),
          Cell(status, "open_requests"),
          QueuedCell(status),
          YesNo(status, "holds_order_lease"),
          Cell(status, "quarantined")};
}

/// The row of a host that did not answer with its status.
Row FailedRow(const std::string& host, ResultCode code) {
  Row row(kHostColumns, "-");
  row[0] = host;
  row[2] = code == ResultCode::kNotPermitted ? "key refused" : "unreachable";
  return row;
}

/// Adds one row for each upstream that the host reports.
void AddUpstreams(const Json& status, std::vector<Row>* rows) {
  for (const Json& upstream : status.value("upstreams", Json::array()))
    rows->push_back({Cell(status, "host"), Cell(upstream, "name"),
                     Cell(upstream, "state"), Cell(upstream, "in_flight"),
                     Rounded(upstream, "load"), Rounded(upstream, "pace_ms"),
                     Cell(upstream, "reason")});
}

/// Prints `host time event field=value...`, each candidate on a line of its
/// own.
void PrintDecision(const Json& decision, std::ostream& out) {
  out << Cell(decision, "host") << "  " << Cell(decision, "time_ms") << "  "
      << Cell(decision, "event");
  for (const auto& [field, value] : decision.items()) {
    if (field != "host" && field != "time_ms" && field != "event" &&
        field != "level" && field != "request" && field != "candidates")
      out << "  " << field << "=" << Cell(decision, field.c_str());
  }
  out << "\n";
  for (const Json& candidate : decision.value("candidates", Json::array())) {
    out << "    candidate " << Cell(candidate, "upstream");
    for (const auto& [field, value] : candidate.items()) {
      if (field != "upstream" && field != "event" && field != "level")
        out << "  " << field << "=" << Cell(candidate, field.c_str());
    }
    out << "\n";
  }
}

}  // namespace

Status ShowStatus(const Settings& settings, std::ostream& out) {
  const Status named = NeedHosts(settings);
  if (!named)
    return named;
  Status result = Ok{};
  Json all = Json::array();
  std::vector<Row> hosts;
  std::vector<Row> upstreams;
  for (const std::string& host : settings.hosts) {
    const auto status = AskHost(settings, host, "/admin/v1/status");
    if (!status) {
      result = {status.error().code, host + ": " + status.error().message};
      hosts.push_back(FailedRow(host, status.error().code));
      all.push_back({{"url", host}, {"error", status.error().message}});
      continue;
    }
    all.push_back(*status);
    hosts.push_back(HostRow(*status));
    AddUpstreams(*status, &upstreams);
  }
  if (settings.json) {
    out << all.dump() << "\n";
    return result;
  }
  PrintTable({"HOST", "DOMAIN", "STATE", "CONFIG", "LOG", "PEERS", "OPEN",
              "QUEUED", "LEASE", "QUARANTINED"},
             hosts, out);
  if (upstreams.empty())
    return result;
  out << "\n";
  PrintTable(
      {"HOST", "UPSTREAM", "STATE", "IN FLIGHT", "LOAD", "PACE MS", "REASON"},
      upstreams, out);
  return result;
}

Status ShowRequest(const Settings& settings, std::ostream& out) {
  const Status named = NeedHosts(settings);
  if (!named)
    return named;
  Error last{ResultCode::kUnknownPath,
             "no host knows request '" + settings.name +
                 "'; a host keeps the decisions of its last 5000 requests"};
  Json decisions = Json::array();
  std::vector<std::string> failed;
  for (const std::string& host : settings.hosts) {
    const auto answer =
        AskHost(settings, host,
                "/admin/v1/requests/" + net::EncodeUrlComponent(settings.name));
    if (!answer) {
      failed.push_back(host + ": " + answer.error().message);
      last = {answer.error().code, failed.back()};
      continue;
    }
    for (Json decision : answer->value("decisions", Json::array())) {
      decision["host"] = host;
      decisions.push_back(std::move(decision));
    }
  }
  std::stable_sort(
      decisions.begin(), decisions.end(), [](const Json& a, const Json& b) {
        return a.value("time_ms", int64_t{0}) < b.value("time_ms", int64_t{0});
      });
  if (decisions.empty())
    return last;
  if (settings.json) {
    out << decisions.dump() << "\n";
    return Ok{};
  }
  for (const Json& decision : decisions)
    PrintDecision(decision, out);
  // The request may have gone through such a host too.
  for (const std::string& failure : failed)
    out << "incomplete: " << failure << "\n";
  return Ok{};
}

Status WaitInForce(const Settings& settings,
                   LogOffset offset,
                   Waiter& waiter,
                   std::ostream& out) {
  const Status named = NeedHosts(settings);
  if (!named)
    return named;
  const auto timeout = config::ParseDuration(settings.timeout);
  if (!timeout)
    return {ResultCode::kSettingInvalid, timeout.error().message};
  const TimePoint end = SteadyNow() + *timeout;
  while (true) {
    std::string behind;
    for (const std::string& host : settings.hosts) {
      const auto status = AskHost(settings, host, "/admin/v1/status");
      // Waiting does not help against a refused key.
      if (!status && status.error().code == ResultCode::kNotPermitted)
        return {status.error().code, host + ": " + status.error().message};
      const bool in_force =
          status.ok() && status->contains("config_offset") &&
          (*status)["config_offset"].is_number_unsigned() &&
          (*status)["config_offset"].get<LogOffset>() >= offset;
      if (!in_force)
        behind += (behind.empty() ? "" : ", ") + host + " (" +
                  (status.ok() ? "at " + Cell(*status, "config_offset")
                               : status.error().message) +
                  ")";
    }
    if (behind.empty()) {
      if (settings.json)
        out << Json{{"offset", offset}, {"hosts", settings.hosts}}.dump()
            << "\n";
      else
        out << "offset " << offset << " is in force on "
            << settings.hosts.size() << " hosts\n";
      return Ok{};
    }
    if (SteadyNow() >= end)
      return {ResultCode::kWaitTimedOut, "offset " + std::to_string(offset) +
                                             " is not in force on " + behind};
    waiter.Sleep(kWaitStep);
  }
}

}  // namespace teaselhill::ctl
