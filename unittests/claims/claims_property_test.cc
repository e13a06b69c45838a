/// \file
/// Checks invariants I4 and I5: a key runs at most once, and an answer "not
/// run" stays true, i.e. the key did not run before the answer, and no attempt
/// that was sent before the answer runs after it. The checks run under random
/// crashes, pauses, log outages, lost, delayed and duplicated appends,
/// truncation and races between hosts.

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <map>

#include "claims_fixture.h"

namespace teaselhill::claims {
namespace {

constexpr unsigned kHosts = 3;
constexpr double kStepsPerSize = 20;  // up to 2000 steps per run
constexpr std::chrono::milliseconds kMaxNetworkDelay{400};

ClaimOptions OptionsForShortRuns() {
  ClaimOptions options;
  options.index.max_clock_skew = std::chrono::milliseconds(300);
  options.index.claim_window = std::chrono::seconds(6);
  options.answer_retention = std::chrono::seconds(2);
  options.max_used_tokens = 1;
  return options;
}

/// One random step. `choice` selects a variant of the event `kind`.
struct Step {
  unsigned kind;
  unsigned host;
  unsigned choice;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << step.kind << "," << step.host << "," << step.choice
             << "}";
}

class ClaimSimulation {
 public:
  ClaimSimulation() {
    for (size_t i = 0; i < kHosts; ++i)
      Restart(i);
  }

  void RunStep(const Step& step) {
    ++step_count_;
    Host& host = hosts_[step.host];
    switch (step.kind) {
      case 0:
      case 1:
        return SendAttempt(step.host, step.choice);
      case 2:
      case 3:
        return AppendNextBatch(&host, step.choice);
      case 4:
      case 5:
        return ReadLog(&host, 1 + step.choice);
      case 6:
      case 7:
        return DispatchRequest(&host, step.choice);
      case 8:
        return FinishRequest(&host, step.choice);
      case 9:
        return AbandonRequest(&host, step.choice);
      case 10:
        return AdvanceTime(std::chrono::milliseconds(10 + 90 * step.choice));
      case 11:
        return AppendDelayedBatch(step.choice);
      case 12:
        if (step.choice == 0)
          Restart(step.host);
        return;
      case 13:
        if (step.choice == 0 && log_.size() > 3)
          first_retained_ = std::max(first_retained_, log_.size() - 2);
        return;
      case 14:
        // New keys are rare, so that a key is released and claimed again
        // before attempts move on to newer keys.
        if (step.choice < 2)
          NewKey(step.host, step.choice == 1);
        return;
    }
  }

 private:
  struct Attempt {
    size_t key = 0;
    uint64_t sent_in_step = 0;
    // Id of the request on the host that forwarded the request; unset if the
    // request came from a caller.
    std::optional<uint64_t> forwarded_request;
    bool may_run = false;
    bool running = false;
  };
  struct KeyHistory {
    Key key;
    int runs = 0;
    uint64_t reported_not_run_in_step = 0;
  };
  struct Host {
    HostIncarnation id;
    std::unique_ptr<ClaimTable> table;
    std::map<RequestId, Attempt> open;
  };
  struct DelayedAttempt {
    size_t host;
    Attempt attempt;
    TimePoint sent_at;
  };

  void Restart(size_t i) {
    hosts_[i].id = {"h" + std::to_string(i), ++incarnation_};
    hosts_[i].open.clear();
    hosts_[i].table =
        std::make_unique<ClaimTable>(hosts_[i].id, OptionsForShortRuns());
    hosts_[i].table->OnReadStart(first_retained_, log_.size());
  }

  void NewKey(size_t host, bool token) {
    const uint64_t number = keys_.size() + 1;
    if (!token) {
      const std::chrono::milliseconds skew(300 * static_cast<int>(host) - 300);
      keys_.push_back({UuidKey{{0, number}, log_time_ + skew}});
    } else {
      keys_.push_back({TokenKey{
          {1, number}, hosts_[host].id, hosts_[host].table->IssueToken()}});
    }
  }

  void SendAttempt(size_t host, unsigned choice) {
    if (keys_.empty())
      NewKey(host, false);
    Attempt attempt;
    attempt.key =
        keys_.size() - 1 - std::min<size_t>(keys_.size() - 1, choice / 3);
    attempt.sent_in_step = step_count_;
    if (choice % 3 == 0)
      delayed_attempts_.push_back({host, attempt, now_});
    else
      DeliverAttempt(&hosts_[host], attempt);
  }

  void DeliverAttempt(Host* host, const Attempt& attempt) {
    const RequestId request = ++last_request_;
    host->open[request] = attempt;
    ApplyAction(host,
                {request, host->table->OnRequest(
                              request, keys_[attempt.key].key, kBodyHash,
                              attempt.forwarded_request.has_value(), now_)});
  }

  void ApplyAction(Host* host, const ClaimAction& action) {
    const auto it = host->open.find(action.request);
    RC_ASSERT(it != host->open.end());
    const Attempt attempt = it->second;
    if (IsDecision<WaitForAction>(action.decision))
      return;
    if (IsDecision<RunRequest>(action.decision)) {
      it->second.may_run = true;
      return;
    }
    host->open.erase(it);
    if (const auto* forward = std::get_if<ForwardToHolder>(&action.decision)) {
      RC_ASSERT(!attempt.forwarded_request);
      for (Host& holder : hosts_) {
        if (holder.id == forward->holder) {
          Attempt copy = attempt;
          copy.forwarded_request = action.request;
          DeliverAttempt(&holder, copy);
        }
      }
    }
    if (IsDecision<ReplayAnswer>(action.decision))
      RC_ASSERT(std::get<ReplayAnswer>(action.decision).answer.body ==
                std::to_string(attempt.key));
    if (IsDecision<RefuseRequest>(action.decision))
      RecordResult(attempt.key, RefusalCode(action.decision));
  }

  void RecordResult(size_t key, ResultCode code) {
    if (Describe(code).outcome != Outcome::kNotRun)
      return;
    RC_ASSERT(keys_[key].runs == 0);
    keys_[key].reported_not_run_in_step = step_count_;
  }

  void AppendNextBatch(Host* host, unsigned choice) {
    const auto batch = host->table->NextBatchToAppend(now_);
    if (!batch)
      return;
    AppendOutcome outcome = AppendOutcome::kAppended;
    if (choice >= 3)
      outcome = AppendOutcome::kUnknown;
    if (choice == 5)
      outcome = AppendOutcome::kFailed;
    if (choice < 4)
      AppendToLog(*batch);
    else if (choice == 4)
      delayed_batches_.push_back(*batch);
    if (choice != 2)  // with choice 2 the append never reports a result
      host->table->OnAppendResult(batch->number, outcome, now_);
  }

  void AppendToLog(const ClaimBatch& batch) {
    log_.push_back({log_.size(), log_time_, batch});
  }

  void AppendDelayedBatch(unsigned choice) {
    if (delayed_batches_.empty())
      return;
    const size_t index = choice % delayed_batches_.size();
    AppendToLog(delayed_batches_[index]);
    if (choice % 2 == 0)  // an odd choice appends a duplicate later
      delayed_batches_.erase(delayed_batches_.begin() + index);
  }

  void ReadLog(Host* host, unsigned count) {
    if (host->table->next_offset() < first_retained_)
      ApplyActions(host,
                   host->table->OnReadStart(first_retained_, log_.size()));
    const size_t from = host->table->next_offset();
    const size_t to = std::min(log_.size(), from + count);
    ApplyActions(host, host->table->OnRecords(
                           {log_.begin() + from, log_.begin() + to}, now_));
  }

  void ApplyActions(Host* host, const std::vector<ClaimAction>& actions) {
    for (const ClaimAction& action : actions)
      ApplyAction(host, action);
  }

  template <typename Predicate>
  RequestId PickRequest(const Host& host,
                        unsigned choice,
                        Predicate predicate) {
    std::vector<RequestId> matching;
    for (const auto& [request, attempt] : host.open)
      if (predicate(attempt))
        matching.push_back(request);
    return matching.empty() ? 0 : matching[choice % matching.size()];
  }

  void DispatchRequest(Host* host, unsigned choice) {
    const RequestId request =
        PickRequest(*host, choice, [](const Attempt& attempt) {
          return attempt.may_run && !attempt.running;
        });
    if (request == 0)
      return;
    host->table->OnDispatchDecided(request);
    Attempt& attempt = host->open[request];
    if (choice == 5) {
      host->table->OnNotRun(request);
      return;
    }
    attempt.running = true;
    KeyHistory& key = keys_[attempt.key];
    RC_ASSERT(++key.runs == 1);
    RC_ASSERT(attempt.sent_in_step > key.reported_not_run_in_step);
  }

  void FinishRequest(Host* host, unsigned choice) {
    const RequestId request = PickRequest(
        *host, choice, [](const Attempt& attempt) { return attempt.running; });
    if (request == 0)
      return;
    const size_t key = host->open[request].key;
    host->open.erase(request);
    ApplyActions(host, host->table->OnFinished(
                           request,
                           choice == 0 ? FinishKind::kOutcomeUnknown
                                       : FinishKind::kAnswered,
                           AnswerWithBody(std::to_string(key)), now_));
  }

  void AbandonRequest(Host* host, unsigned choice) {
    const RequestId request = PickRequest(
        *host, choice, [](const Attempt& attempt) { return !attempt.running; });
    if (request == 0)
      return;
    std::vector<ClaimAction> actions;
    const size_t key = host->open[request].key;
    host->open.erase(request);
    RecordResult(key, host->table->OnAbandoned(request, ResultCode::kQueueFull,
                                               now_, &actions));
    ApplyActions(host, actions);
  }

  void AdvanceTime(std::chrono::milliseconds step) {
    now_ += step;
    log_time_ += step;
    for (Host& host : hosts_)
      host.table->OnTick(now_);
    // Every attempt arrives within the maximum network delay.
    while (!delayed_attempts_.empty() &&
           now_ - delayed_attempts_.front().sent_at > kMaxNetworkDelay) {
      const DelayedAttempt first = delayed_attempts_.front();
      delayed_attempts_.pop_front();
      DeliverAttempt(&hosts_[first.host], first.attempt);
    }
  }

  Host hosts_[kHosts];
  std::vector<KeyHistory> keys_;
  /// Indexed by offset; offset 0 is not used.
  std::vector<ClaimRecord> log_{kFirstOffset};
  std::deque<ClaimBatch> delayed_batches_;
  std::deque<DelayedAttempt> delayed_attempts_;
  size_t first_retained_ = kFirstOffset;
  uint64_t step_count_ = 0;
  uint64_t incarnation_ = 0;
  RequestId last_request_ = 0;
  TimePoint now_;
  WallTime log_time_ = kStartTime;
};

}  // namespace

TEST_CASE("no key runs twice, and an answer \"not run\" stays true") {
  rc::prop("under random faults and races", [] {
    const auto below = [](unsigned bound) {
      return rc::gen::resize(100, rc::gen::inRange(0u, bound));
    };
    const auto step =
        rc::gen::construct<Step>(below(15), below(kHosts), below(6));
    const auto steps = *rc::gen::scale(
        kStepsPerSize, rc::gen::container<std::vector<Step>>(step));
    ClaimSimulation simulation;
    for (const Step& next : steps)
      simulation.RunStep(next);
  });
}

}  // namespace teaselhill::claims
