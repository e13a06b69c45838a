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
constexpr MessageSize kReportsSize{12, 14};

/// A load difference of a quarter of the batch is as urgent as a report that
/// was last published this long ago.
constexpr double kQuarterBatchSeconds = 2;

uint32_t LoadOf(const LoadReport& report) {
  return static_cast<uint32_t>(std::max(0, report.running) +
                               std::max(0, report.waiting));
}

}  // namespace

ReportSharing::ReportSharing(std::string self, ReportSharingOptions options)
    : self_(std::move(self)),
      options_(options),
      budget_(options.spread_bytes_per_second, options.spread_burst) {}

void ReportSharing::SetEngines(std::vector<std::string> engines) {
  engines_ = std::move(engines);
  Divide();
}

void ReportSharing::SetHosts(std::vector<std::string> hosts) {
  hosts_ = std::move(hosts);
  Divide();
}

bool ReportSharing::shared() const {
  return !hosts_.empty() && engines_.size() > options_.polled_by_all;
}

void ReportSharing::Divide() {
  polled_.clear();
  if (!shared()) {
    polled_.insert(engines_.begin(), engines_.end());
  } else {
    std::vector<std::string> hosts = hosts_;
    hosts.push_back(self_);
    // Sorting lets all hosts with the same view derive the same division.
    std::sort(hosts.begin(), hosts.end());
    std::sort(engines_.begin(), engines_.end());
    std::vector<uint64_t> seeds;
    for (const std::string& host : hosts)
      seeds.push_back(Hash64(host));
    const auto most = static_cast<size_t>(
        std::ceil(options_.most_engines * static_cast<double>(engines_.size()) /
                  static_cast<double>(hosts.size())));
    std::vector<size_t> taken(hosts.size(), 0);
    for (const std::string& engine : engines_) {
      size_t best = hosts.size();
      uint64_t best_weight = 0;
      for (size_t i = 0; i < hosts.size(); ++i) {
        const uint64_t weight = Hash64(engine, seeds[i]);
        if (taken[i] < most && (best == hosts.size() || weight > best_weight)) {
          best = i;
          best_weight = weight;
        }
      }
      ++taken[best];
      if (hosts[best] == self_)
        polled_.insert(engine);
    }
  }
  for (auto it = known_.begin(); it != known_.end();)
    it = polled_.count(it->first) ? std::next(it) : known_.erase(it);
}

Duration ReportSharing::PollPeriod(Duration base) const {
  if (engines_.size() <= options_.polled_by_all)
    return base;
  const double bytes =
      static_cast<double>(polled_.size() * options_.poll_bytes);
  const Duration affordable =
      FromSeconds(bytes / options_.poll_bytes_per_second);
  return std::max(base, std::min(affordable, options_.longest_poll_period));
}

void ReportSharing::OnOwnReport(const std::string& engine,
                                const LoadReport& report,
                                TimePoint now) {
  if (polled_.count(engine) == 0)
    return;
  Known& known = known_[engine];
  known.report = report;
  known.taken = now - std::max(report.age, Duration{});
}

double ReportSharing::Urgency(const Known& known, TimePoint now) {
  // A report is published once; receivers derive its age from the message.
  if (known.taken <= known.told)
    return 0;
  if (known.told == TimePoint{})
    return 1e9;
  const double quarter = std::max(1, known.report.max_batch) / 4.0;
  const double difference =
      std::abs(static_cast<double>(LoadOf(known.report)) - known.told_load);
  return difference / quarter * kQuarterBatchSeconds +
         ToSeconds(now - known.told);
}

EngineReports ReportSharing::MakeMessage(TimePoint now) {
  EngineReports message;
  if (!shared())
    return message;
  std::vector<std::pair<double, const std::string*>> order;
  for (const auto& [engine, known] : known_) {
    const double urgency = Urgency(known, now);
    if (urgency > 0)
      order.push_back({urgency, &engine});
  }
  const size_t entries =
      std::min(order.size(),
               budget_.Entries(hosts_.size(), kReportsSize, order.size(), now));
  if (entries == 0)
    return message;
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : *a.second < *b.second;
  });
  for (size_t i = 0; i < entries; ++i) {
    Known& known = known_[*order[i].second];
    known.told = known.taken;
    known.told_load = LoadOf(known.report);
    message.entries.push_back(
        {NumberOf(*order[i].second), known.told_load,
         static_cast<uint32_t>(std::max(0, known.report.max_batch)),
         static_cast<uint32_t>(std::max(0.0, known.report.tokens_per_second)),
         now - known.taken});
  }
  budget_.Charge(hosts_.size(), kReportsSize, entries);
  return message;
}

}  // namespace teaselhill::routing
