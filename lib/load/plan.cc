/// \file
/// Validates load plans.

#include "teaselhill/load/plan.h"

#include <algorithm>

namespace teaselhill::load {

namespace {

constexpr Duration kMaxRunDuration = std::chrono::hours(4);
constexpr uint64_t kMaxRequests = 2000000;

Error Invalid(const std::string& message) {
  return {ResultCode::kSettingInvalid, message};
}

bool IsFraction(double value) {
  return value >= 0 && value <= 1;
}

/// Whether `host` has the form 127.x.y.z with numbers up to 255.
bool IsLoopbackIpv4(std::string_view host) {
  int numbers = 0;
  while (true) {
    const size_t dot = std::min(host.find('.'), host.size());
    const std::string part(host.substr(0, dot));
    if (part.empty() || part.size() > 3 ||
        part.find_first_not_of("0123456789") != std::string::npos ||
        std::stoi(part) > 255 || (numbers == 0 && part != "127"))
      return false;
    ++numbers;
    if (dot == host.size())
      return numbers == 4;
    host.remove_prefix(dot + 1);
  }
}

Status CheckStream(const StreamPlan& stream) {
  const std::string where = "stream " + stream.name + ": ";
  if (stream.model.empty() == stream.service.empty())
    return Invalid(where + "exactly one of model and service must be set");
  if (stream.rate <= 0 || stream.burst_size == 0)
    return Invalid(where + "rate and burst_size must be positive");
  if (!IsFraction(stream.disconnect_share) ||
      !IsFraction(stream.resend_share) || !IsFraction(stream.marker_share))
    return Invalid(where +
                   "disconnect_share, resend_share and marker_share must be "
                   "from 0 to 1");
  if (stream.prefix_pool == 0 || stream.max_tokens == 0)
    return Invalid(where + "prefix_pool and max_tokens must be positive");
  if (stream.resend_share > 0 && stream.key_kind == KeyKind::kNone)
    return Invalid(where + "resend_share requires a key_kind other than none");
  if (stream.loss_resends > 0 && stream.non_idempotent &&
      stream.key_kind == KeyKind::kNone)
    return Invalid(where + "loss_resends requires a key_kind other than none");
  for (const RatePhase& phase : stream.phases) {
    if (phase.factor < 0 || phase.to < phase.from)
      return Invalid(where + "a rate phase has a negative factor or duration");
  }
  return Ok{};
}

}  // namespace

bool IsLoopbackUrl(std::string_view url) {
  for (const std::string_view scheme : {"http://", "https://"}) {
    if (url.substr(0, scheme.size()) != scheme)
      continue;
    const std::string_view rest = url.substr(scheme.size());
    if (rest.substr(0, 5) == "[::1]")
      return rest.size() == 5 || rest[5] == ':' || rest[5] == '/';
    const std::string_view authority =
        rest.substr(0, rest.find_first_of("/?#"));
    const size_t colon = std::min(authority.find(':'), authority.size());
    const std::string_view port = authority.substr(colon);
    return port.find_first_not_of(":0123456789") == std::string_view::npos &&
           IsLoopbackIpv4(authority.substr(0, colon));
  }
  return false;
}

Status CheckPlan(const Plan& plan) {
  if (plan.routers.empty() || plan.streams.empty())
    return Invalid("routers and streams must not be empty");
  if (plan.duration <= Duration::zero() || plan.duration > kMaxRunDuration ||
      plan.drain < Duration::zero() || plan.drain > kMaxRunDuration)
    return Invalid("duration_s or drain_s is out of range");
  if (plan.max_requests == 0 || plan.max_requests > kMaxRequests)
    return Invalid("max_requests is out of range");
  std::vector<std::string> urls = plan.routers;
  urls.insert(urls.end(), plan.journals.begin(), plan.journals.end());
  for (const FaultPlan& fault : plan.faults)
    urls.push_back(fault.url);
  for (const std::string& url : urls) {
    if (!IsLoopbackUrl(url))
      return Invalid(url + " is not a loopback address");
  }
  for (const RouterPhase& phase : plan.router_phases) {
    for (const size_t router : phase.routers) {
      if (router >= plan.routers.size())
        return Invalid("router_phases names a router that does not exist");
    }
    if (phase.routers.empty())
      return Invalid("a router phase has no routers");
  }
  if (plan.health_checks && (plan.health_checks->period <= Duration::zero() ||
                             plan.health_checks->misses < 1))
    return Invalid("health_checks: period_s and misses must be positive");
  for (const StreamPlan& stream : plan.streams) {
    Status checked = CheckStream(stream);
    if (!checked)
      return checked;
  }
  return Ok{};
}

std::vector<size_t> RoutersAt(const Plan& plan, Duration at) {
  for (const RouterPhase& phase : plan.router_phases) {
    if (at >= phase.from && at < phase.to)
      return phase.routers;
  }
  std::vector<size_t> all(plan.routers.size());
  for (size_t i = 0; i < all.size(); ++i)
    all[i] = i;
  return all;
}

}  // namespace teaselhill::load
