/// \file
/// Applies and publishes configurations and upstream records.

#include "teaselhill/gateway/state_keeper.h"

#include <algorithm>

namespace teaselhill::gateway {

/// More reads than begin while the records of another host count as current.
static constexpr size_t kMaxCountedReads = 32;

void StateKeeper::OnConfig(std::shared_ptr<const RouteTable> routes) {
  const auto current = shared_state_.routes();
  if (current && routes->version() <= current->version())
    return;
  log_.Write(LineKind::kState,
             LogLine(LogLevel::kInfo, "config_applied")
                 .Field("version", routes->version())
                 .Field("previous", current ? current->version() : 0)
                 .Field("routes", routes->config().routes.size())
                 .Field("services", routes->config().services.size())
                 .Field("teams", routes->config().teams.size()),
             clock_());
  for (const std::string& warning : routes->config().warnings)
    log_.Write(LineKind::kState,
               LogLine(LogLevel::kWarning, "config_part_left_out")
                   .Field("version", routes->version())
                   .Field("fault", warning),
               clock_());
  shared_state_.SetRoutes(std::move(routes));
}

void StateKeeper::OnListing(const UpstreamListing& listing) {
  const TimePoint now = clock_();
  for (const UpstreamRecord& record : listing.records)
    LogStateChange(record, now);
  directory_.ApplyListing(listing, now);
  listing_received_ = true;
  PublishUpstreams();
  PublishRenewals(listing.records);
}

void StateKeeper::OnRecords(const std::vector<UpstreamRecord>& records) {
  const TimePoint now = clock_();
  for (const UpstreamRecord& record : records) {
    LogStateChange(record, now);
    directory_.ApplyRecord(record, now);
  }
  PublishUpstreams();
  PublishRenewals(records);
}

void StateKeeper::PublishRenewals(const std::vector<UpstreamRecord>& records) {
  for (const UpstreamRecord& record : records) {
    if (record.entry)
      renewals_[record.id] = {record.entry->incarnation, current_read_};
    else
      renewals_.erase(record.id);
  }
  shared_state_.SetRenewals(std::make_shared<EntryRenewals>(renewals_));
}

void StateKeeper::OnSourceAnswered() {
  const TimePoint now = clock_();
  shared_state_.SetUpstreamsReadAt(now);
  CountRead(now, now);
  if (source_monitor_.OnAnswered(now))
    directory_.OnSourceReachable(now);
}

void StateKeeper::OnSharedAnswer(Duration age) {
  const TimePoint now = clock_();
  // Otherwise the next own read, maybe much later, would open the grace for
  // entries that were removed meanwhile.
  if (source_monitor_.LostBefore(now - age) && source_monitor_.OnAnswered(now))
    directory_.OnSourceReachable(now - age);
  shared_state_.SetUpstreamsReadAt(
      std::max(shared_state_.upstreams_read_at(), now - age));
  CountRead(now - age, now);
}

void StateKeeper::CountRead(TimePoint as_of, TimePoint now) {
  shared_state_.CountUpstreamRead();
  counted_reads_.emplace_back(now, shared_state_.upstream_reads());
  if (counted_reads_.size() > kMaxCountedReads)
    counted_reads_.pop_front();
  current_read_ = 0;
  for (const auto& [counted_at, number] : counted_reads_) {
    if (counted_at <= as_of)
      current_read_ = number;
  }
}

void StateKeeper::OnReadRole(ReadRole role, size_t readers) {
  log_.Write(LineKind::kState,
             LogLine(LogLevel::kInfo, "read_role_changed")
                 .Field("role", ReadRoleName(role))
                 .Field("readers", static_cast<uint64_t>(readers)),
             clock_());
}

void StateKeeper::OnSourceUnreachable(const Error& error) {
  const TimePoint now = clock_();
  const auto routes = shared_state_.routes();
  if (source_monitor_.OnUnreachable(error, routes ? routes->version() : 0, now))
    directory_.OnSourceUnreachable(now);
}

void StateKeeper::OnRecordUnreadable(const std::string& name,
                                     const Error& error) {
  log_.Write(LineKind::kFailure,
             LogLine(LogLevel::kWarning, "record_unreadable")
                 .Field("name", name)
                 .Field("code", static_cast<int>(error.code))
                 .Field("fault", error.message),
             clock_());
}

void StateKeeper::ExpireUpstreams() {
  const TimePoint now = clock_();
  directory_.ExpireRemoved(now);
  PublishUpstreams();
}

void StateKeeper::LogStateChange(const UpstreamRecord& record, TimePoint now) {
  std::string state = "gone";
  if (record.entry)
    state = std::string(record.entry->draining ? "draining" : "ready") + " " +
            record.entry->address + " " +
            std::to_string(record.entry->incarnation);
  std::string& last_logged_state = last_logged_states_[record.id];
  if (last_logged_state == state)
    return;
  last_logged_state = state;
  LogLine line(LogLevel::kInfo, "upstream_changed");
  line.Field("upstream", record.id)
      .Field("offset", record.offset)
      .Field("state", !record.entry            ? "gone"
                      : record.entry->draining ? "draining"
                                               : "ready");
  if (record.entry)
    line.Field("service", record.entry->service)
        .Field("address", record.entry->address)
        .Field("domain", record.entry->domain)
        .Field("incarnation", record.entry->incarnation);
  log_.Write(LineKind::kState, line, now);
  if (!record.entry)
    last_logged_states_.erase(record.id);
}

void StateKeeper::PublishUpstreams() {
  if (!listing_received_)
    return;
  const bool changed = directory_.TakeChanged();
  if (changed || !shared_state_.upstreams())
    shared_state_.SetUpstreams(directory_.BuildList());
}

}  // namespace teaselhill::gateway
