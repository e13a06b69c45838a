/// \file
/// Assigns engines to polling hosts and selects the reports to publish.

#include "teaselhill/routing/report_sharing.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "teaselhill/support/hash.h"

namespace teaselhill::routing {

namespace {

/// Bytes on the wire, including the frame.
constexpr MessageSize kReportsMessageSize{12, 14};

/// A load that differs from the published load by a quarter of the batch is as
/// urgent as a published report that was measured this many seconds ago.
constexpr double kQuarterBatchUrgencySeconds = 2;

uint32_t LoadOf(const LoadReport& report) {
  return static_cast<uint32_t>(std::max(0, report.running) +
                               std::max(0, report.waiting));
}

}  // namespace

ReportSharing::ReportSharing(std::string self, ReportSharingOptions options)
    : self_(std::move(self)),
      options_(options),
      budget_(options.publish_bytes_per_second, options.publish_burst) {}

void ReportSharing::SetEngines(std::vector<std::string> engines) {
  engines_ = std::move(engines);
  AssignEngines();
}

void ReportSharing::SetPeers(std::vector<std::string> peers) {
  peers_ = std::move(peers);
  AssignEngines();
}

bool ReportSharing::DividesEngines() const {
  return !peers_.empty() &&
         engines_.size() > options_.max_engines_polled_by_all;
}

void ReportSharing::AssignEngines() {
  polled_engines_.clear();
  if (!DividesEngines()) {
    polled_engines_.insert(engines_.begin(), engines_.end());
  } else {
    std::vector<std::string> hosts = peers_;
    hosts.push_back(self_);
    // Sorting lets all hosts that know the same hosts and engines derive the
    // same division.
    std::sort(hosts.begin(), hosts.end());
    std::sort(engines_.begin(), engines_.end());
    std::vector<uint64_t> seeds;
    for (const std::string& host : hosts)
      seeds.push_back(Hash64(host));
    const auto max_engines = static_cast<size_t>(std::ceil(
        options_.max_engines_ratio * static_cast<double>(engines_.size()) /
        static_cast<double>(hosts.size())));
    std::vector<size_t> engine_counts(hosts.size(), 0);
    for (const std::string& engine : engines_) {
      size_t best = hosts.size();
      uint64_t best_weight = 0;
      for (size_t i = 0; i < hosts.size(); ++i) {
        const uint64_t weight = Hash64(engine, seeds[i]);
        if (engine_counts[i] < max_engines &&
            (best == hosts.size() || weight > best_weight)) {
          best = i;
          best_weight = weight;
        }
      }
      ++engine_counts[best];
      if (hosts[best] == self_)
        polled_engines_.insert(engine);
    }
  }
  for (auto it = engine_states_.begin(); it != engine_states_.end();)
    it = polled_engines_.count(it->first) ? std::next(it)
                                          : engine_states_.erase(it);
}

Duration ReportSharing::PollPeriod(Duration base) const {
  if (engines_.size() <= options_.max_engines_polled_by_all)
    return base;
  const double bytes =
      static_cast<double>(polled_engines_.size() * options_.poll_bytes);
  const Duration affordable_period =
      FromSeconds(bytes / options_.poll_bytes_per_second);
  return std::max(base, std::min(affordable_period, options_.max_poll_period));
}

void ReportSharing::OnOwnReport(const std::string& engine,
                                const LoadReport& report,
                                TimePoint now) {
  if (polled_engines_.count(engine) == 0)
    return;
  EngineState& state = engine_states_[engine];
  state.report = report;
  state.measured_at = now - std::max(report.age, Duration{});
}

double ReportSharing::Urgency(const EngineState& state, TimePoint now) {
  // A report is not published twice, because receivers can derive its current
  // age from the first message.
  if (state.measured_at <= state.published_measured_at)
    return 0;
  if (state.published_measured_at == TimePoint{})
    return 1e9;
  const double quarter_batch = std::max(1, state.report.max_batch) / 4.0;
  const double difference = std::abs(static_cast<double>(LoadOf(state.report)) -
                                     state.published_load);
  return difference / quarter_batch * kQuarterBatchUrgencySeconds +
         ToSeconds(now - state.published_measured_at);
}

EngineReports ReportSharing::MakeReportsMessage(TimePoint now) {
  EngineReports message;
  if (!DividesEngines())
    return message;
  std::vector<std::pair<double, const std::string*>> by_urgency;
  for (const auto& [engine, state] : engine_states_) {
    const double urgency = Urgency(state, now);
    if (urgency > 0)
      by_urgency.push_back({urgency, &engine});
  }
  const size_t entries =
      std::min(by_urgency.size(),
               budget_.AffordableEntries(peers_.size(), kReportsMessageSize,
                                         by_urgency.size(), now));
  if (entries == 0)
    return message;
  std::sort(
      by_urgency.begin(), by_urgency.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : *a.second < *b.second;
      });
  for (size_t i = 0; i < entries; ++i) {
    EngineState& state = engine_states_[*by_urgency[i].second];
    state.published_measured_at = state.measured_at;
    state.published_load = LoadOf(state.report);
    message.entries.push_back(
        {HashUpstreamName(*by_urgency[i].second), state.published_load,
         static_cast<uint32_t>(std::max(0, state.report.max_batch)),
         static_cast<uint32_t>(std::max(0.0, state.report.tokens_per_second)),
         now - state.measured_at});
  }
  budget_.Charge(peers_.size(), kReportsMessageSize, entries);
  return message;
}

}  // namespace teaselhill::routing
