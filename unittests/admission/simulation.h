/// \file
/// Simulates in virtual time a model with a fixed number of slots whose
/// requests are started by an admission policy.

#ifndef TEASELHILL_UNITTESTS_ADMISSION_SIMULATION_H_
#define TEASELHILL_UNITTESTS_ADMISSION_SIMULATION_H_

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "teaselhill/admission/admission_policy.h"
#include "teaselhill/support/rng.h"

namespace teaselhill::admission {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline std::unique_ptr<AdmissionPolicy> CreatePolicy(
    const std::string& name,
    const AdmissionOptions& options = {}) {
  return std::move(AdmissionRegistry::Instance().Create(name, options).value());
}

inline QueuedRequest MakeRequest(RequestId id,
                                 const std::string& customer,
                                 config::Tier tier,
                                 TimePoint now,
                                 Duration deadline = seconds(0)) {
  QueuedRequest request;
  request.id = id;
  request.customer = customer;
  request.team = "team";
  request.class_name = "class" + std::to_string(tier);
  request.tier = tier;
  request.model = "model";
  request.predicted_output_tokens = 100;
  request.arrival = now;
  if (deadline > Duration::zero())
    request.deadline = now + deadline;
  return request;
}

/// Reports that all requests can be placed except those of `blocked_models`.
class ModelProbe : public PlacementProbe {
 public:
  bool CanPlace(const QueuedRequest& request) const override {
    ++probe_count;
    return blocked_models.count(request.model) == 0;
  }
  std::map<std::string, bool> blocked_models;
  mutable int probe_count = 0;
};

/// Poisson arrivals of the requests of one class, with geometrically
/// distributed output lengths.
struct RequestSource {
  std::string customer;
  config::Tier tier = 0;
  double requests_per_second = 0;
  double mean_tokens = 100;
  Duration deadline{};
  double weight = 1;
};

struct RequestSourceResult {
  int offered = 0;
  int answered = 0;  ///< completed within the deadline
  int late = 0;      ///< completed after the deadline
  int not_run = 0;
  double answered_tokens = 0;
  Duration longest_gap{};  ///< longest time without a start while requests wait
};

/// Simulates the requests of `sources` during `length` on a model with `slots`
/// slots. A slot produces an output token every 29 ms.
inline std::vector<RequestSourceResult> Simulate(
    AdmissionPolicy* policy,
    const std::vector<RequestSource>& sources,
    int slots,
    Duration length,
    uint64_t seed) {
  constexpr Duration kStep = milliseconds(10);
  constexpr Duration kTokenTime = milliseconds(29);
  struct SimulatedRequest {
    size_t source;
    uint64_t tokens;
    TimePoint deadline;
  };
  struct RunningRequest {
    RequestId id;
    TimePoint started_at;
  };
  Rng rng(seed);
  std::vector<RequestSourceResult> results(sources.size());
  std::vector<TimePoint> last_start(sources.size());
  std::vector<int> waiting(sources.size());
  std::map<RequestId, SimulatedRequest> requests;
  std::vector<RunningRequest> running;
  const ModelProbe probe;
  RequestId next_id = 1;
  const auto count_not_run = [&](const RemovedRequest& removed) {
    const SimulatedRequest& request_info = requests.at(removed.request.id);
    ++results[request_info.source].not_run;
    --waiting[request_info.source];
  };
  for (TimePoint now{}; now < TimePoint{} + length; now += kStep) {
    for (size_t i = 0; i < running.size();) {
      const SimulatedRequest& request_info = requests.at(running[i].id);
      const uint64_t produced = (now - running[i].started_at) / kTokenTime;
      if (produced < request_info.tokens) {
        policy->OnProgress(running[i].id, produced, now);
        ++i;
        continue;
      }
      RequestSourceResult& result = results[request_info.source];
      ++(now <= request_info.deadline ? result.answered : result.late);
      result.answered_tokens += static_cast<double>(request_info.tokens);
      policy->OnFinished(running[i].id, request_info.tokens, true, now);
      running[i] = running.back();
      running.pop_back();
    }
    for (size_t s = 0; s < sources.size(); ++s) {
      const RequestSource& source = sources[s];
      if (rng.Uniform() >= source.requests_per_second * ToSeconds(kStep))
        continue;
      QueuedRequest request = MakeRequest(next_id++, source.customer,
                                          source.tier, now, source.deadline);
      request.predicted_output_tokens = 0;
      request.customer_weight = source.weight;
      const double unit_length = -std::log(1 - rng.Uniform());
      requests[request.id] = {
          s, 1 + static_cast<uint64_t>(unit_length * source.mean_tokens),
          request.deadline};
      ++results[s].offered;
      if (waiting[s]++ == 0)
        last_start[s] = now;
      const OfferResult offered = policy->Offer(request, now);
      if (const auto* admitted = std::get_if<AdmittedOffer>(&offered)) {
        for (const RemovedRequest& removed : admitted->shed_requests)
          count_not_run(removed);
      } else {
        ++results[s].not_run;
        --waiting[s];
      }
    }
    for (const RemovedRequest& removed : policy->RemoveExpired(now))
      count_not_run(removed);
    while (static_cast<int>(running.size()) < slots) {
      const auto picked = policy->PickNext(probe, now);
      if (!picked)
        break;
      policy->OnAttemptSent(picked->request.id, now);
      running.push_back({picked->request.id, now});
      const size_t s = requests.at(picked->request.id).source;
      --waiting[s];
      results[s].longest_gap =
          std::max(results[s].longest_gap, now - last_start[s]);
      last_start[s] = now;
    }
    for (size_t s = 0; s < sources.size(); ++s) {
      if (waiting[s] > 0) {
        results[s].longest_gap =
            std::max(results[s].longest_gap, now - last_start[s]);
      }
    }
  }
  return results;
}

}  // namespace teaselhill::admission

#endif  // TEASELHILL_UNITTESTS_ADMISSION_SIMULATION_H_
