/// \file
/// Commands that ask the hosts' admin API.

#include <nlohmann/json.hpp>

#include "commands.h"
#include "output.h"
#include "teaselhill/config/contract_format.h"
#include "teaselhill/net/http_client.h"

namespace teaselhill::ctl {

namespace {

using Json = nlohmann::json;

constexpr Duration kHostTimeout = std::chrono::seconds(3);
constexpr Duration kWaitStep = std::chrono::milliseconds(200);
constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;

Result<Json> AskHost(const Settings& settings,
                     const std::string& host,
                     const std::string& path) {
  net::ClientRequest request;
  request.url = host + path;
  request.total_timeout = kHostTimeout;
  request.ca_file = settings.tls_ca;
  request.headers = {{"Authorization", "Bearer " + settings.operator_key}};
  const auto answer = net::BlockingFetch(std::move(request));
  if (!answer)
    return answer.error();
  const std::string text = host + " answered " + std::to_string(answer->status);
  if (answer->status == kUnauthorized || answer->status == kForbidden)
    return {ResultCode::kNotPermitted, text};
  if (answer->status == kNotFound)
    return {ResultCode::kUnknownPath, text};
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

/// Adds one row for each upstream that the host reports.
void AddUpstreams(const Json& status, std::vector<Row>* rows) {
  for (const Json& upstream : status.value("upstreams", Json::array()))
    rows->push_back({Cell(status, "host"), Cell(upstream, "name"),
                     Cell(upstream, "state"), Cell(upstream, "in_flight"),
                     Cell(upstream, "pace_ms"), Cell(upstream, "reason")});
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
      result = Status(status.error());
      hosts.push_back({host, "-", "unreachable", "-", "-", "-"});
      all.push_back({{"url", host}, {"error", status.error().message}});
      continue;
    }
    all.push_back(*status);
    hosts.push_back({Cell(*status, "host"), Cell(*status, "domain"),
                     Cell(*status, "ready") == "true" ? "ready" : "not ready",
                     Cell(*status, "config_offset"),
                     Cell(*status, "log_reachable"),
                     Cell(*status, "incarnation")});
    AddUpstreams(*status, &upstreams);
  }
  if (settings.json) {
    out << all.dump() << "\n";
    return result;
  }
  PrintTable({"HOST", "DOMAIN", "STATE", "CONFIG", "LOG", "INCARNATION"}, hosts,
             out);
  out << "\n";
  PrintTable({"HOST", "UPSTREAM", "STATE", "IN FLIGHT", "PACE MS", "REASON"},
             upstreams, out);
  return result;
}

Status ShowRequest(const Settings& settings, std::ostream& out) {
  const Status named = NeedHosts(settings);
  if (!named)
    return named;
  Error last{ResultCode::kUnknownPath,
             "no host knows request '" + settings.name + "'"};
  Json decisions = Json::array();
  for (const std::string& host : settings.hosts) {
    const auto answer =
        AskHost(settings, host,
                "/admin/v1/requests/" + net::EncodeUrlComponent(settings.name));
    if (!answer) {
      if (answer.error().code != ResultCode::kUnknownPath)
        last = answer.error();
      continue;
    }
    for (const Json& decision : answer->value("decisions", Json::array()))
      decisions.push_back(decision);
  }
  if (decisions.empty())
    return last;
  if (settings.json) {
    out << decisions.dump() << "\n";
    return Ok{};
  }
  for (const Json& decision : decisions) {
    for (const auto& [field, value] : decision.items())
      out << field << "="
          << (value.is_string() ? value.get<std::string>() : value.dump())
          << "  ";
    out << "\n";
  }
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
      const bool in_force =
          status.ok() && status->contains("config_offset") &&
          (*status)["config_offset"].is_number_unsigned() &&
          (*status)["config_offset"].get<LogOffset>() >= offset;
      if (!in_force)
        behind += (behind.empty() ? "" : ", ") + host + " (" +
                  (status.ok() ? Cell(*status, "config_offset")
                               : status.error().message) +
                  ")";
    }
    if (behind.empty()) {
      out << "offset " << offset << " is in force on " << settings.hosts.size()
          << " hosts\n";
      return Ok{};
    }
    if (SteadyNow() >= end)
      return {ResultCode::kWaitTimedOut, "offset " + std::to_string(offset) +
                                             " is not in force on " + behind};
    waiter.Sleep(kWaitStep);
  }
}

}  // namespace teaselhill::ctl
