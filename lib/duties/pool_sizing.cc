/// \file
/// How many servers of each kind a service needs in each failure domain.

#include "teaselhill/duties/pool_sizing.h"

#include <algorithm>
#include <cmath>

namespace teaselhill::duties {

namespace {

/// Part of the reclaimable servers that one reclaim may take, if there are
/// domains enough.
constexpr double kMaxReclaimPart = 0.4;

/// Reclaimable servers that are a few too many keep the dearer ones from
/// standing in for them while the need varies a little.
constexpr double kReclaimableMargin = 1.1;

/// Demand for which capacity is held before such a burst was seen, as a
/// multiple of the mean. A late answer costs the same whatever the servers
/// cost, so the cheaper the additional ones, the more of them are held.
constexpr double kMinHeadroom = 1.3;
constexpr double kMaxHeadroom = 2.5;
constexpr double kHeadroomPrice = 0.3;

/// Open requests rise less than arrivals in a burst, since long answers began
/// before it.
constexpr double kMaxOpenHeadroom = 1.3;

/// Rounds up, except for what is within the error of computation.
int RoundUp(double servers) {
  return static_cast<int>(std::ceil(servers - 1e-6));
}

double Headroom(const PoolSpec& spec) {
  const double price = std::max(spec.reclaimable_price, 0.01);
  return std::clamp(1 + kHeadroomPrice / price, kMinHeadroom, kMaxHeadroom);
}

/// Fill in a burst: comfortable if the servers for it cost nothing, tight if
/// they cost as much as the others.
FillTarget BurstFill(const PoolSpec& spec) {
  const double price = std::clamp(spec.reclaimable_price, 0.0, 1.0);
  FillTarget fill = kComfortableFill;
  fill.prefill += (kTightFill.prefill - fill.prefill) * price;
  fill.slots += (kTightFill.slots - fill.slots) * price;
  return fill;
}

/// Indices of `domains` for which `usable` holds, the cheapest first.
template <typename Usable>
std::vector<size_t> ByPrice(const SizingInput& input, Usable usable) {
  std::vector<size_t> order;
  for (size_t i = 0; i < input.domains.size(); ++i) {
    if (usable(input.domains[i]))
      order.push_back(i);
  }
  std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return input.spec.PriceIn(input.domains[a].domain) <
           input.spec.PriceIn(input.domains[b].domain);
  });
  return order;
}

/// Spreads the servers on demand evenly: then the loss of a domain takes the
/// least, so the fewest are needed in all. Returns the number spread.
int SpreadOnDemand(const SizingInput& input, int servers, PoolTarget* target) {
  const std::vector<size_t> order =
      ByPrice(input, [](const SizingDomain& domain) { return domain.usable; });
  if (order.empty())
    return 0;
  const int count = static_cast<int>(order.size());
  const int least = std::max(1, input.spec.min_servers);
  int spread = 0;
  for (int i = 0; i < count; ++i) {
    const int share = servers / count + (i < servers % count ? 1 : 0);
    int& on_demand = target->domains[order[i]].on_demand;
    on_demand =
        std::clamp(share, least, std::max(least, input.spec.max_servers));
    spread += on_demand;
  }
  return spread;
}

/// Spreads reclaimable servers by the inverse of the price, within the bound on
/// what one reclaim may take.
void SpreadReclaimable(const SizingInput& input,
                       int servers,
                       PoolTarget* target) {
  const std::vector<size_t> order =
      ByPrice(input, [](const SizingDomain& domain) { return domain.usable; });
  double weight_left = 0;
  for (const size_t i : order)
    weight_left +=
        1 / std::max(0.01, input.spec.PriceIn(input.domains[i].domain));
  // With fewer than three usable domains, an even split is the lowest bound.
  const double max_part = order.size() < 3
                              ? 1.0 / std::max<size_t>(1, order.size())
                              : kMaxReclaimPart;
  const int max_share = RoundUp(servers * max_part);
  int left = servers;
  for (const size_t i : order) {
    const double weight =
        1 / std::max(0.01, input.spec.PriceIn(input.domains[i].domain));
    DomainTarget& domain = target->domains[i];
    int room = input.spec.max_servers - domain.on_demand;
    if (!input.domains[i].reclaimable_available)
      room = std::min(room, input.domains[i].reclaimable_ready);
    const int share =
        static_cast<int>(std::lround(left * weight / weight_left));
    domain.reclaimable = std::max(0, std::min({share, max_share, room, left}));
    left -= domain.reclaimable;
    weight_left -= weight;
  }
}

/// Reclaimable servers that are left after the largest reclaim.
int ReclaimableAfterLoss(const SizingInput& input) {
  int all = 0;
  int largest = 0;
  for (const SizingDomain& domain : input.domains) {
    all += domain.reclaimable_ready;
    largest = std::max(largest, domain.reclaimable_ready);
  }
  return all - largest;
}

}  // namespace

int PoolTarget::on_demand() const {
  int sum = 0;
  for (const DomainTarget& domain : domains)
    sum += domain.on_demand;
  return sum;
}

int PoolTarget::reclaimable() const {
  int sum = 0;
  for (const DomainTarget& domain : domains)
    sum += domain.reclaimable;
  return sum;
}

double ServersFor(const WorkLevel& level,
                  const PoolFigures& figures,
                  double slots_per_server,
                  const FillTarget& fill) {
  const double by_prefill =
      level.prompt_tokens / (figures.tokens_per_ms * 1000 * fill.prefill);
  const double by_slots = level.open / (slots_per_server * fill.slots);
  return std::max(by_prefill, by_slots) * figures.correction;
}

PoolTarget SizePool(const SizingInput& input) {
  const PoolFigures& figures = input.figures;
  const auto servers_for = [&](const WorkLevel& level, const FillTarget& fill) {
    return ServersFor(level, figures, input.slots_per_server, fill);
  };
  const double headroom = Headroom(input.spec);
  const WorkLevel expected_burst{
      figures.base.prompt_tokens * headroom,
      figures.base.open * std::min(headroom, kMaxOpenHeadroom)};
  PoolTarget target;
  target.total = RoundUp(std::max(
      servers_for(figures.typical, kComfortableFill),
      servers_for(Max(figures.burst, expected_burst), BurstFill(input.spec))));
  target.now = RoundUp(std::max(servers_for(figures.mean, kComfortableFill),
                                servers_for(figures.typical, kTightFill)));
  int usable = 0;
  for (const SizingDomain& domain : input.domains) {
    target.domains.push_back({domain.domain, 0, 0});
    usable += domain.usable;
  }
  target.total = std::min(target.total, usable * input.spec.max_servers);
  target.now = std::min(target.now, target.total);
  const double urgent = servers_for(figures.urgent, kTightFill);
  // Covers the loss of one domain, whether or not it has happened.
  const int left_domains = static_cast<int>(input.domains.size()) - 1;
  const int floor_per_domain = RoundUp(urgent / std::max(1, left_domains));
  target.floor = floor_per_domain * usable;
  const bool reclaimable = input.spec.uses_reclaimable();
  const int after_loss = reclaimable ? ReclaimableAfterLoss(input) : 0;
  const int on_demand = std::max(
      {target.floor, target.now - after_loss, reclaimable ? 0 : target.total});
  const int spread = SpreadOnDemand(input, on_demand, &target);
  const int rest = std::max(0, target.total - spread);
  if (reclaimable)
    SpreadReclaimable(input, RoundUp(rest * kReclaimableMargin), &target);
  for (const DomainTarget& domain : target.domains)
    target.price +=
        input.spec.PriceIn(domain.domain) *
        (domain.on_demand + domain.reclaimable * input.spec.reclaimable_price);
  return target;
}

}  // namespace teaselhill::duties
