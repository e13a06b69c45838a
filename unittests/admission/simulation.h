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

/// Can place all requests except those of the models in `blocked`.
class ModelProbe : public PlacementProbe {
 public:
  bool CanPlace(const QueuedRequest& request) const override {
    ++calls;
    return blocked.count(request.model) == 0;
  }
  std::map<std::string, bool> blocked;
  mutable int calls = 0;
};

/// Poisson arrivals of one class with geometrically distributed output lengths.
struct Source {
  std::string customer;
  config::Tier tier = 0;
  double per_second = 0;
  double mean_tokens = 100;
  Duration deadline{};
  double weight = 1;
};

struct SourceResult {
  int offered = 0;
  int answered = 0;  ///< completed within the deadline
  int late = 0;      ///< completed after the deadline
  int not_run = 0;
  double tokens = 0;
  Duration longest_gap{};  ///< between starts while requests were queued
};

/// Simulates requests of `sources` for `length` on `slots` slots, each of which
/// takes 29 ms for an output token.
inline std::vector<SourceResult> Simulate(AdmissionPolicy* policy,
                                          const std::vector<Source>& sources,
                                          int slots,
                                          Duration length,
                                          uint64_t seed) {
  constexpr Duration kStep = milliseconds(10);
  constexpr Duration kPerToken = milliseconds(29);
  struct Job {
    size_t source;
    uint64_t tokens;
    TimePoint deadline;
  };
  struct Running {
    RequestId id;
    TimePoint started;
  };
  Rng rng(seed);
  std::vector<SourceResult> results(sources.size());
  std::vector<TimePoint> last_start(sources.size());
  std::vector<int> waiting(sources.size());
  std::map<RequestId, Job> jobs;
  std::vector<Running> running;
  const ModelProbe probe;
  RequestId next_id = 1;
  const auto give_up = [&](const Expiry& expiry) {
    const Job& job = jobs.at(expiry.request.id);
    ++results[job.source].not_run;
    --waiting[job.source];
  };
  for (TimePoint now{}; now < TimePoint{} + length; now += kStep) {
    for (size_t i = 0; i < running.size();) {
      const Job& job = jobs.at(running[i].id);
      const uint64_t produced = (now - running[i].started) / kPerToken;
      if (produced < job.tokens) {
        policy->OnProgress(running[i].id, produced, now);
        ++i;
        continue;
      }
      SourceResult& result = results[job.source];
      ++(now <= job.deadline ? result.answered : result.late);
      result.tokens += static_cast<double>(job.tokens);
      policy->OnFinished(running[i].id, job.tokens, true, now);
      running[i] = running.back();
      running.pop_back();
    }
    for (size_t s = 0; s < sources.size(); ++s) {
      const Source& source = sources[s];
      if (rng.Uniform() >= source.per_second * ToSeconds(kStep))
        continue;
      QueuedRequest request = MakeRequest(next_id++, source.customer,
                                          source.tier, now, source.deadline);
      request.predicted_output_tokens = 0;
      request.weight = source.weight;
      const double length_draw = -std::log(1 - rng.Uniform());
      jobs[request.id] = {
          s, 1 + static_cast<uint64_t>(length_draw * source.mean_tokens),
          request.deadline};
      ++results[s].offered;
      if (waiting[s]++ == 0)
        last_start[s] = now;
      const OfferResult offered = policy->Offer(request, now);
      if (const auto* admitted = std::get_if<Admitted>(&offered)) {
        for (const Expiry& expiry : admitted->shed)
          give_up(expiry);
      } else {
        ++results[s].not_run;
        --waiting[s];
      }
    }
    for (const Expiry& expiry : policy->Expire(now))
      give_up(expiry);
    while (static_cast<int>(running.size()) < slots) {
      const auto picked = policy->PickNext(probe, now);
      if (!picked)
        break;
      policy->OnStarted(picked->request.id, now);
      running.push_back({picked->request.id, now});
      const size_t s = jobs.at(picked->request.id).source;
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
