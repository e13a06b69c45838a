/// \file
/// Median of the needs of all hosts.

#include "teaselhill/engines/reserve_agreement.h"

#include <algorithm>
#include <iterator>

namespace teaselhill::engines {

void ReserveAgreement::UpdateMedian(Service& service) {
  std::vector<double> fractions;
  for (const auto& [host, need] : service.needs)
    fractions.push_back(need.fraction);
  if (fractions.empty())
    return;
  // The lower one of two, so that the result is a need of some host.
  const auto middle = fractions.begin() +
                      static_cast<std::ptrdiff_t>((fractions.size() - 1) / 2);
  std::nth_element(fractions.begin(), middle, fractions.end());
  service.median = *middle;
}

void ReserveAgreement::SetOwnNeed(const std::string& service,
                                  double fraction,
                                  TimePoint now) {
  Service& state = services_[service];
  Need& need = state.needs[own_host_];
  need.told_at = now;
  if (need.fraction == fraction)
    return;
  need.fraction = fraction;
  UpdateMedian(state);
}

void ReserveAgreement::DropOwnNeed(const std::string& service) {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.needs.erase(own_host_) == 0)
    return;
  found->second.last_told.reset();
  UpdateMedian(found->second);
}

void ReserveAgreement::OnTold(const std::vector<ReserveNeed>& needs,
                              TimePoint now) {
  for (const ReserveNeed& told : needs) {
    if (!(told.fraction > 0 && told.fraction <= 1) || told.host == own_host_)
      continue;
    Service& state = services_[told.service];
    state.needs[told.host] = {told.fraction, now};
    UpdateMedian(state);
  }
}

std::optional<double> ReserveAgreement::Agreed(
    const std::string& service) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.needs.empty())
    return std::nullopt;
  return found->second.median;
}

size_t ReserveAgreement::HostCount(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : found->second.needs.size();
}

std::vector<ReserveNeed> ReserveAgreement::TakeNews(TimePoint now) {
  std::vector<ReserveNeed> news;
  for (auto& [name, service] : services_) {
    const auto own = service.needs.find(own_host_);
    if (own == service.needs.end())
      continue;
    const double fraction = own->second.fraction;
    if (service.last_told == fraction &&
        now - service.last_told_at < options_.refresh_period)
      continue;
    service.last_told = fraction;
    service.last_told_at = now;
    news.push_back({own_host_, name, fraction});
  }
  return news;
}

void ReserveAgreement::Expire(TimePoint now) {
  for (auto it = services_.begin(); it != services_.end();) {
    Service& service = it->second;
    for (auto need = service.needs.begin(); need != service.needs.end();)
      need = now - need->second.told_at >= options_.need_expiry
                 ? service.needs.erase(need)
                 : std::next(need);
    UpdateMedian(service);
    it = service.needs.empty() ? services_.erase(it) : std::next(it);
  }
}

}  // namespace teaselhill::engines
