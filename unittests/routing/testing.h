/// \file
/// Upstreams, attempts and policies for the tests of routing.

#ifndef TEASELHILL_UNITTESTS_ROUTING_TESTING_H_
#define TEASELHILL_UNITTESTS_ROUTING_TESTING_H_

#include "teaselhill/routing/routing_policy.h"

namespace teaselhill::routing {

inline const TimePoint kStart{std::chrono::hours(1)};

inline UpstreamSpec Engine(const std::string& name,
                           const std::string& domain = "a") {
  UpstreamSpec spec;
  spec.name = name;
  spec.domain = domain;
  spec.models = {"m"};
  return spec;
}

/// Returns `count` engines named e0, e1 and so on.
inline std::vector<UpstreamSpec> Engines(int count) {
  std::vector<UpstreamSpec> specs;
  for (int i = 0; i < count; ++i)
    specs.push_back(Engine("e" + std::to_string(i)));
  return specs;
}

inline SentAttempt Attempt(AttemptId id, const std::string& upstream) {
  SentAttempt sent;
  sent.attempt = id;
  sent.upstream = upstream;
  sent.predicted_output_tokens = 10;
  return sent;
}

inline std::unique_ptr<RoutingPolicy> MakePolicy(const std::string& name,
                                                 int sample_size = 2) {
  RoutingOptions options;
  options.own_domain = "a";
  options.sample_size = sample_size;
  auto policy = RoutingPolicyRegistry::Instance().Create(name, options);
  assert(policy.ok() && "the policy is not registered");
  return std::move(*policy);
}

}  // namespace teaselhill::routing

#endif  // TEASELHILL_UNITTESTS_ROUTING_TESTING_H_
