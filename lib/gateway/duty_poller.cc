/// \file
/// Asks the hosts of the fleet in turn.

#include "teaselhill/gateway/duty_poller.h"

#include <algorithm>
#include <utility>

#include "teaselhill/support/hash.h"

namespace teaselhill::gateway {

DutyPoller::DutyPoller(PeerCalls& calls,
                       TimerService& timers,
                       EventLog& log,
                       std::string own_host,
                       HostReportSources sources,
                       std::function<TimePoint()> now)
    : calls_(calls),
      timers_(timers),
      log_(log),
      own_host_(std::move(own_host)),
      sources_(sources),
      now_(std::move(now)) {
  calls_.Serve(kPath, [this](const std::string& body) { return Answer(body); });
}

void DutyPoller::OnHosts(const std::vector<HostRecord>& records) {
  for (const HostRecord& record : records)
    if (record.host != own_host_ && !record.peer_address.empty())
      addresses_[record.host] = record.peer_address;
}

void DutyPoller::OnAcquired(duties::DutyContext&,
                            const duties::KeptTexts&,
                            TimePoint) {
  holding_ = std::make_shared<const bool>(true);
  cursors_.Clear();
  unreachable_.clear();
  last_slot_ = now_().time_since_epoch() / Duration(kSlot);
  timer_ = timers_.Subscribe(kSlot, [this](TimePoint) { OnTimer(); });
}

void DutyPoller::OnLost(TimePoint) {
  holding_.reset();
  timer_.Cancel();
}

Result<std::string> DutyPoller::Answer(const std::string& body) {
  const Result<duties::HostReportQuery> query =
      duties::DecodeHostReportQuery(body);
  if (!query)
    return query.error();
  return duties::EncodeHostReport(MakeReport(*query));
}

duties::HostReport DutyPoller::MakeReport(
    const duties::HostReportQuery& query) {
  const TimePoint now = now_();
  duties::HostReport report;
  report.host = own_host_;
  if (sources_.usage)
    sources_.usage->Report(query, now, &report);
  if (sources_.work)
    report.work = sources_.work->TakeWork(now);
  return report;
}

void DutyPoller::OnTimer() {
  const int64_t slot = now_().time_since_epoch() / Duration(kSlot);
  // After a late timer several slots are due, but each host once.
  const int64_t due = std::min(slot - last_slot_, kSlots);
  const int64_t first = slot - due + 1;
  last_slot_ = slot;
  const auto is_due = [first, due](const std::string& host) {
    const auto own = static_cast<int64_t>(Hash64(host) % kSlots);
    return (own - first % kSlots + kSlots) % kSlots < due;
  };
  std::vector<Peer> peers;
  for (const auto& [host, address] : addresses_)
    if (is_due(host))
      peers.push_back({host, address});
  for (const Peer& peer : peers)
    Ask(peer);
  if (!is_due(own_host_))
    return;
  const duties::HostReportQuery query = cursors_.QueryFor(own_host_);
  Deliver(query, own_host_, MakeReport(query));
}

void DutyPoller::Ask(const Peer& peer) {
  const duties::HostReportQuery query = cursors_.QueryFor(peer.host);
  calls_.Call(peer.address, kPath, duties::EncodeHostReportQuery(query),
              kTimeout,
              [this, peer, query, asked_at = now_(),
               weak = std::weak_ptr<const bool>(holding_)](
                  const Result<std::string>& body) {
                if (!weak.expired())
                  OnAnswer(peer, query, asked_at, body);
              });
}

void DutyPoller::OnAnswer(const Peer& peer,
                          const duties::HostReportQuery& query,
                          TimePoint asked_at,
                          const Result<std::string>& body) {
  if (!body)
    return LogUnreachable(peer, body.error());
  Result<duties::HostReport> report = duties::DecodeHostReport(*body);
  if (!report)
    return LogUnreachable(peer, report.error());
  unreachable_.erase(peer.host);
  // The host made its report at some time since it was asked.
  const Duration on_its_way = (now_() - asked_at) / 2;
  for (duties::UsageCount& count : report->usage)
    count.age += on_its_way;
  Deliver(query, peer.host, *report);
}

void DutyPoller::Deliver(const duties::HostReportQuery& query,
                         const std::string& host,
                         const duties::HostReport& report) {
  if (!cursors_.Accept(host, query, report))
    return;
  const TimePoint now = now_();
  for (duties::HostReportHandler* handler : handlers_)
    handler->OnHostReport(report, now);
}

void DutyPoller::LogUnreachable(const Peer& peer, const Error& error) {
  if (!unreachable_.insert(peer.host).second)
    return;
  log_.Write(LineKind::kFailure,
             LogLine(LogLevel::kInfo, "duty_host_unreachable")
                 .Field("host", peer.host)
                 .Field("address", peer.address)
                 .Field("code", static_cast<int>(error.code))
                 .Field("fault", error.message),
             now_());
}

}  // namespace teaselhill::gateway
