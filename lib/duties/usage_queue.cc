/// \file
/// Order and repetition of usage reports.

#include "teaselhill/duties/usage_queue.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

#include "teaselhill/duties/usage_windows.h"

namespace teaselhill::duties {

namespace {

using Json = nlohmann::json;

constexpr const char* kWindowField = "window";
constexpr const char* kRequestsField = "requests";

}  // namespace

std::string EncodeUsageReport(const UsageReport& report) {
  return Json{{kWindowField, report.window},
              {kRequestsField, report.requests_by_team}}
      .dump(-1, ' ', /*ensure_ascii=*/false, Json::error_handler_t::replace);
}

Result<UsageReport> DecodeUsageReport(std::string_view text) {
  const Json object = Json::parse(text.begin(), text.end(), /*cb=*/nullptr,
                                  /*allow_exceptions=*/false);
  const auto is_count = [](const Json& value) {
    return value.is_number_unsigned();
  };
  if (!object.is_object() || !object.contains(kWindowField) ||
      !is_count(object[kWindowField]) || !object.contains(kRequestsField) ||
      !object[kRequestsField].is_object())
    return {ResultCode::kProtocolError, "usage report: fields are missing"};
  UsageReport report;
  report.window = object[kWindowField].get<uint64_t>();
  for (const auto& [team, requests] : object[kRequestsField].items()) {
    if (!is_count(requests))
      return {ResultCode::kProtocolError,
              "usage report: '" + team + "' has no count"};
    report.requests_by_team[team] = requests.get<uint64_t>();
  }
  return report;
}

void UsageQueue::Backoff::Fail(TimePoint now) {
  length = std::clamp<Duration>(2 * length, kMinBackoff, kMaxBackoff);
  until = now + length;
}

UsageQueue::UsageQueue(Duration window, Duration report_delay)
    : window_(window), report_delay_(report_delay) {}

void UsageQueue::Start(const std::vector<KeptReport>& kept,
                       WallTime reports_known_since,
                       WallTime wall) {
  Stop();
  ForgetUnsent(reports_known_since - UsageWindows::kEarliestReport);
  // The store may have lost them since.
  for (auto& [window, item] : items_)
    item.kept = false;
  for (const KeptReport& each : kept) {
    if (each.lost && !IsExpired(each.report.window, wall))
      AddLost(each.report);
  }
  for (const KeptReport& each : kept) {
    if (!each.lost && !IsExpired(each.report.window, wall))
      AddKept(each.report);
  }
  Expire(wall);
}

void UsageQueue::ForgetUnsent(WallTime ended_by) {
  for (auto it = items_.begin(); it != items_.end();) {
    const bool is_forgotten =
        !it->second.send_tried && EndOf(it->first) < ended_by;
    it = is_forgotten ? items_.erase(it) : std::next(it);
  }
}

void UsageQueue::AddLost(const UsageReport& report) {
  Item& item = items_[report.window];
  if (item.send_tried) {
    item.done |= item.report.requests_by_team != report.requests_by_team;
    return;
  }
  item.report = report;
  item.keep_tried = item.send_tried = true;
}

void UsageQueue::AddKept(const UsageReport& report) {
  Item& item = items_[report.window];
  if (item.kept)
    return;  // the first one may have been sent
  item.done |= item.send_tried &&
               item.report.requests_by_team != report.requests_by_team;
  item.report = report;
  item.keep_tried = item.kept = true;
}

void UsageQueue::Stop() {
  keeping_ = sending_ = false;
  keep_backoff_.Succeed();
  send_backoff_.Succeed();
  for (auto it = items_.begin(); it != items_.end();)
    it = it->second.keep_tried ? std::next(it) : items_.erase(it);
}

void UsageQueue::Add(const UsageReport& report) {
  Item item;
  item.report = report;
  items_.emplace(report.window, std::move(item));
}

std::optional<UsageReport> UsageQueue::TakeToKeep(TimePoint now) {
  if (keeping_ || now < keep_backoff_.until)
    return std::nullopt;
  for (auto& [window, item] : items_) {
    if (item.kept)
      continue;
    keeping_ = item.keep_tried = true;
    return item.report;
  }
  return std::nullopt;
}

void UsageQueue::OnKept(WindowNumber window, bool ok, TimePoint now) {
  keeping_ = false;
  if (!ok)
    return keep_backoff_.Fail(now);
  keep_backoff_.Succeed();
  const auto found = items_.find(window);
  if (found != items_.end())
    found->second.kept = true;
}

std::optional<UsageReport> UsageQueue::TakeToSend(TimePoint now) {
  if (sending_ || now < send_backoff_.until)
    return std::nullopt;
  for (auto& [window, item] : items_) {
    if (item.done || !item.kept)
      continue;
    sending_ = item.send_tried = true;
    return item.report;
  }
  return std::nullopt;
}

void UsageQueue::OnSent(WindowNumber window,
                        CallOutcome outcome,
                        TimePoint now) {
  sending_ = false;
  if (outcome == CallOutcome::kUnknown || outcome == CallOutcome::kRateLimited)
    return send_backoff_.Fail(now);
  send_backoff_.Succeed();
  const auto found = items_.find(window);
  if (found != items_.end())
    found->second.done = true;
  if (outcome == CallOutcome::kAccepted)
    reported_until_ =
        std::max(EndOf(window), reported_until_.value_or(WallTime()));
}

std::vector<WindowNumber> UsageQueue::Expire(WallTime wall) {
  std::vector<WindowNumber> dropped;
  for (auto it = items_.begin(); it != items_.end();) {
    if (!IsExpired(it->first, wall)) {
      ++it;
      continue;
    }
    if (!it->second.done)
      dropped.push_back(it->first);
    it = items_.erase(it);
  }
  return dropped;
}

std::optional<WindowNumber> UsageQueue::last_window() const {
  if (items_.empty())
    return std::nullopt;
  return items_.rbegin()->first;
}

size_t UsageQueue::pending() const {
  return static_cast<size_t>(
      std::count_if(items_.begin(), items_.end(),
                    [](const auto& item) { return !item.second.done; }));
}

WallTime UsageQueue::EndOf(WindowNumber window) const {
  return WallTime(std::chrono::duration_cast<WallTime::duration>(
      static_cast<Duration::rep>(window + 1) * window_));
}

bool UsageQueue::IsExpired(WindowNumber window, WallTime wall) const {
  return wall > EndOf(window) + report_delay_ + Duration(kMaxLateness);
}

}  // namespace teaselhill::duties
