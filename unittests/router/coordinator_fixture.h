/// \file
/// Test fixture: a request coordinator with real policies and recorded traffic.

#ifndef TEASELHILL_UNITTESTS_ROUTER_COORDINATOR_FIXTURE_H_
#define TEASELHILL_UNITTESTS_ROUTER_COORDINATOR_FIXTURE_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "teaselhill/router/request_coordinator.h"

namespace teaselhill::router {

/// Records the commands of the coordinator.
class RecordingTraffic : public TrafficPort {
 public:
  void StartAttempt(int, const AttemptCommand& command) override {
    started.push_back(command);
    running[{command.request, command.attempt}] = command;
    if (executor)
      executor->StartAttempt(0, command);
  }
  void CancelAttempt(int, RequestId request, int attempt) override {
    running.erase({request, attempt});
    if (executor)
      executor->CancelAttempt(0, request, attempt);
  }
  void ResumeAttempt(int, RequestId request, int attempt) override {
    resumed.emplace_back(request, attempt);
    if (executor)
      executor->ResumeAttempt(0, request, attempt);
  }
  void FailRequest(int,
                   RequestId request,
                   const Error& error,
                   Duration retry_after) override {
    failures[request].push_back(error.code);
    EraseRunning(request);
    if (executor)
      executor->FailRequest(0, request, error, retry_after);
  }
  void ReplayAnswer(int,
                    RequestId request,
                    std::shared_ptr<const StoredAnswer> answer) override {
    replays[request].push_back(answer->body);
  }
  void CancelRequest(int, RequestId request) override {
    ++cancellations[request];
    EraseRunning(request);
  }
  void SendIdempotencyToken(int, RequestId, const std::string& token) override {
    tokens.push_back(token);
  }

  void EraseRunning(RequestId request) {
    auto entry = running.lower_bound({request, 0});
    while (entry != running.end() && entry->first.first == request)
      entry = running.erase(entry);
  }

  /// Number of failures, replays and cancellations of a request so far. Does
  /// not count complete answers of attempts, which need no command.
  size_t FinalAnswerCount(RequestId request) const {
    size_t finals = 0;
    if (const auto f = failures.find(request); f != failures.end())
      finals += f->second.size();
    if (const auto r = replays.find(request); r != replays.end())
      finals += r->second.size();
    if (const auto d = cancellations.find(request); d != cancellations.end())
      finals += static_cast<size_t>(d->second);
    return finals;
  }

  /// Carries out the commands on attempts; may be null.
  TrafficPort* executor = nullptr;
  std::vector<AttemptCommand> started;
  std::vector<std::pair<RequestId, int>> resumed;
  std::map<std::pair<RequestId, int>, AttemptCommand> running;
  std::map<RequestId, std::vector<ResultCode>> failures;
  std::map<RequestId, std::vector<std::string>> replays;
  std::map<RequestId, int> cancellations;
  std::vector<std::string> tokens;
};

class NoFleet : public FleetPort {
 public:
  std::optional<std::string> UrlOf(const HostIncarnation&) const override {
    return url;
  }
  void BroadcastCrashSuspicion(const retry::CrashSuspicion&) override {}
  void BroadcastUpstreamSends() override {}
  void BroadcastUpstreamLeaving(const routing::UpstreamLeaving&) override {}

  std::optional<std::string> url;  ///< of all other hosts
};

/// A coordinator for one customer with classes `urgent` and `report` and three
/// engines that serve model `m`.
class CoordinatorFixture {
 public:
  explicit CoordinatorFixture(int engines = 3)
      : limits({"h", "d", 1}, {}, TimePoint{}),
        upstreams(self),
        planner(budget),
        crashes(self),
        claims(self, {}),
        admission(std::move(
            *admission::AdmissionRegistry::Instance().Create("tiered", {}))),
        routing(std::move(*routing::RoutingPolicyRegistry::Instance().Create(
            "adaptive",
            RoutingSettings()))),
        log(logger),
        coordinator(self,
                    Options(),
                    MakeDecisionComponents(),
                    traffic,
                    fleet,
                    log,
                    metrics) {
    auto view = std::make_shared<config::ConfigView>();
    auto contract = std::make_shared<config::Contract>();
    contract->customer = "c";
    contract->teams.push_back({"t", 1, {}});
    contract->models = {"m"};
    config::ClassPolicy urgent;
    urgent.name = "urgent";
    urgent.tier = 0;
    config::ClassPolicy report;
    report.name = "report";
    report.tier = 3;
    contract->classes = {urgent, report};
    view->next_offset = 1;
    view->contracts["c"] = {contract, 0, "test", false};
    std::vector<routing::UpstreamSpec> specs;
    for (int i = 0; i < engines; ++i) {
      auto assignment = std::make_shared<config::UpstreamAssignment>();
      assignment->name = "e" + std::to_string(i);
      assignment->url = "http://127.0.0.1:1";
      assignment->domain = "d";
      assignment->models = {"m"};
      assignment->max_concurrency = 4;
      view->assignments[assignment->name] = {assignment, 0, "test", false};
      routing::UpstreamSpec spec;
      spec.name = assignment->name;
      spec.domain = "d";
      spec.models = {"m"};
      spec.max_concurrency = 4;
      specs.push_back(spec);
    }
    upstreams.SetUpstreams(specs, now);
    coordinator.ApplyConfig(view, now);
  }

  RequestId Arrive(bool idempotent,
                   const std::string& class_name = "report",
                   Duration deadline = {}) {
    RequestInfo info;
    info.id = ++last_request;
    info.external_id = "r" + std::to_string(info.id);
    info.customer = "c";
    info.team = "t";
    info.class_name = class_name;
    info.model = "m";
    info.idempotent = idempotent;
    info.deadline = deadline;
    info.prompt_tokens = 10;
    info.fingerprint = {info.id, info.id};
    coordinator.OnArrived(std::move(info), now);
    return last_request;
  }

  /// Ends a running attempt; `tokens` is the total over all attempts.
  void EndAttempt(RequestId request,
                  int attempt,
                  ResultCode code,
                  bool sent,
                  uint64_t tokens = 0,
                  int status = 0) {
    traffic.running.erase({request, attempt});
    AttemptEnd end;
    end.request = request;
    end.attempt = attempt;
    end.complete = code == ResultCode::kOk;
    end.code = code;
    end.status = status;
    end.may_have_been_sent = sent;
    end.tokens = tokens;
    end.delivered_tokens = tokens;
    coordinator.OnAttemptEnded(end, nullptr, now);
  }

  void Advance(Duration step) {
    now += step;
    upstreams.Tick(now);
    crashes.Expire(now);
    coordinator.Tick(now);
  }

  HostIncarnation self{"h", 1};
  TimePoint now{std::chrono::hours(1)};
  RequestId last_request = 0;
  RecordingTraffic traffic;
  NoFleet fleet;
  NullLogger logger;
  Metrics metrics;
  Rng rng{1};
  quota::LimitShare limits;
  routing::UpstreamTable upstreams;
  retry::RetryBudget budget;
  retry::AttemptPlanner planner;
  retry::HedgePolicy hedges;
  retry::CrashTracker crashes;
  claims::ClaimTable claims;
  std::unique_ptr<admission::AdmissionPolicy> admission;
  std::unique_ptr<routing::RoutingPolicy> routing;
  DecisionLog log;
  RequestCoordinator coordinator;

 private:
  static CoordinatorOptions Options() {
    CoordinatorOptions options;
    options.peer_secret = "0123456789abcdef";
    return options;
  }

  static routing::RoutingOptions RoutingSettings() {
    routing::RoutingOptions options;
    options.own_domain = "d";
    return options;
  }

  DecisionComponents MakeDecisionComponents() {
    return {admission.get(), &limits, &upstreams, routing.get(), &budget,
            &planner,        &hedges, &crashes,   &claims,       &rng};
  }
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_UNITTESTS_ROUTER_COORDINATOR_FIXTURE_H_
