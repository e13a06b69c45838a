/// \file
/// Checks invariants I4 and I5 (a key runs at most once, and a report that it
/// did not run stays true) under random crashes, pauses, log outages, lost,
/// delayed and duplicated appends, truncation and races between hosts.

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <map>

#include "claims_fixture.h"

namespace teaselhill::claims {
namespace {

constexpr unsigned kHosts = 3;
constexpr double kStepsPerSize = 20;  // up to 2000 steps per run
constexpr std::chrono::milliseconds kMaxNetworkDelay{400};

ClaimOptions SmallOptions() {
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

class World {
 public:
  World() {
    for (size_t i = 0; i < kHosts; ++i)
      Restart(i);
  }

  void Run(const Step& step) {
    ++clock_;
    Host& host = hosts_[step.host];
    switch (step.kind) {
      case 0:
      case 1:
        return MakeSend(step.host, step.choice);
      case 2:
      case 3:
        return Append(&host, step.choice);
      case 4:
      case 5:
        return Read(&host, 1 + step.choice);
      case 6:
      case 7:
        return Dispatch(&host, step.choice);
      case 8:
        return Finish(&host, step.choice);
      case 9:
        return GiveUp(&host, step.choice);
      case 10:
        return Advance(std::chrono::milliseconds(10 + 90 * step.choice));
      case 11:
        return LandDelayed(step.choice);
      case 12:
        if (step.choice == 0)
          Restart(step.host);
        return;
      case 13:
        if (step.choice == 0 && log_.size() > 3)
          retained_ = std::max(retained_, log_.size() - 2);
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
  struct SendState {
    size_t key = 0;
    uint64_t made = 0;               // step in which the caller sent it
    std::optional<uint64_t> origin;  // if forwarded, the request before that
    bool won = false;
    bool running = false;
  };
  struct KeyState {
    Key key;
    int runs = 0;
    uint64_t told_not_run = 0;
  };
  struct Host {
    HostIncarnation id;
    std::unique_ptr<ClaimTable> table;
    std::map<RequestId, SendState> open;
  };
  struct Pending {
    size_t host;
    SendState send;
    TimePoint made;
  };

  void Restart(size_t i) {
    hosts_[i].id = {"h" + std::to_string(i), ++incarnation_};
    hosts_[i].open.clear();
    hosts_[i].table =
        std::make_unique<ClaimTable>(hosts_[i].id, SmallOptions());
    hosts_[i].table->OnReadStart(retained_, log_.size());
  }

  void NewKey(size_t host, bool token) {
    const uint64_t number = keys_.size() + 1;
    if (!token) {
      const std::chrono::milliseconds skew(300 * static_cast<int>(host) - 300);
      keys_.push_back({UuidKey{{0, number}, wall_ + skew}});
    } else {
      keys_.push_back({TokenKey{
          {1, number}, hosts_[host].id, hosts_[host].table->IssueToken()}});
    }
  }

  void MakeSend(size_t host, unsigned choice) {
    if (keys_.empty())
      NewKey(host, false);
    SendState send;
    send.key =
        keys_.size() - 1 - std::min<size_t>(keys_.size() - 1, choice / 3);
    send.made = clock_;
    if (choice % 3 == 0)
      pending_.push_back({host, send, now_});
    else
      Arrive(&hosts_[host], send);
  }

  void Arrive(Host* host, const SendState& send) {
    const RequestId request = ++last_request_;
    host->open[request] = send;
    Act(host,
        {request, host->table->OnRequest(request, keys_[send.key].key, kBody,
                                         send.origin.has_value(), now_)});
  }

  void Act(Host* host, const ClaimAction& action) {
    const auto at = host->open.find(action.request);
    RC_ASSERT(at != host->open.end());
    const SendState send = at->second;
    if (Is<WaitForAction>(action.decision))
      return;
    if (Is<RunRequest>(action.decision)) {
      at->second.won = true;
      return;
    }
    host->open.erase(at);
    if (const auto* forward = std::get_if<ForwardToHolder>(&action.decision)) {
      RC_ASSERT(!send.origin);
      for (Host& holder : hosts_) {
        if (holder.id == forward->holder) {
          SendState copy = send;
          copy.origin = action.request;
          Arrive(&holder, copy);
        }
      }
    }
    if (Is<ReplayAnswer>(action.decision))
      RC_ASSERT(std::get<ReplayAnswer>(action.decision).answer.body ==
                std::to_string(send.key));
    if (Is<RefuseRequest>(action.decision))
      Tell(send.key, CodeOf(action.decision));
  }

  void Tell(size_t key, ResultCode code) {
    if (Describe(code).outcome != Outcome::kNotRun)
      return;
    RC_ASSERT(keys_[key].runs == 0);
    keys_[key].told_not_run = clock_;
  }

  void Append(Host* host, unsigned choice) {
    const auto batch = host->table->NextBatchToAppend(now_);
    if (!batch)
      return;
    AppendOutcome outcome = AppendOutcome::kAppended;
    if (choice >= 3)
      outcome = AppendOutcome::kUnknown;
    if (choice == 5)
      outcome = AppendOutcome::kFailed;
    if (choice < 4)
      Land(*batch);
    else if (choice == 4)
      delayed_.push_back(*batch);
    if (choice != 2)  // otherwise the append never reports a result
      host->table->OnAppendResult(batch->number, outcome, now_);
  }

  void Land(const ClaimBatch& batch) {
    log_.push_back({log_.size(), wall_, batch});
  }

  void LandDelayed(unsigned choice) {
    if (delayed_.empty())
      return;
    const size_t at = choice % delayed_.size();
    Land(delayed_[at]);
    if (choice % 2 == 0)  // otherwise a duplicate is appended later
      delayed_.erase(delayed_.begin() + at);
  }

  void Read(Host* host, unsigned count) {
    if (host->table->next_offset() < retained_)
      ActAll(host, host->table->OnReadStart(retained_, log_.size()));
    const size_t from = host->table->next_offset();
    const size_t to = std::min(log_.size(), from + count);
    ActAll(host, host->table->OnRecords(
                     {log_.begin() + from, log_.begin() + to}, now_));
  }

  void ActAll(Host* host, const std::vector<ClaimAction>& actions) {
    for (const ClaimAction& action : actions)
      Act(host, action);
  }

  template <typename Predicate>
  RequestId Pick(const Host& host, unsigned choice, Predicate predicate) {
    std::vector<RequestId> fit;
    for (const auto& [request, send] : host.open)
      if (predicate(send))
        fit.push_back(request);
    return fit.empty() ? 0 : fit[choice % fit.size()];
  }

  void Dispatch(Host* host, unsigned choice) {
    const RequestId request = Pick(*host, choice, [](const SendState& send) {
      return send.won && !send.running;
    });
    if (request == 0)
      return;
    host->table->OnDispatchDecided(request);
    SendState& send = host->open[request];
    if (choice == 5) {
      host->table->OnNotRun(request);
      return;
    }
    send.running = true;
    KeyState& key = keys_[send.key];
    RC_ASSERT(++key.runs == 1);
    RC_ASSERT(send.made > key.told_not_run);
  }

  void Finish(Host* host, unsigned choice) {
    const RequestId request =
        Pick(*host, choice, [](const SendState& send) { return send.running; });
    if (request == 0)
      return;
    const size_t key = host->open[request].key;
    host->open.erase(request);
    ActAll(host,
           host->table->OnFinished(request,
                                   choice == 0 ? FinishKind::kOutcomeUnknown
                                               : FinishKind::kAnswered,
                                   AnswerOf(std::to_string(key)), now_));
  }

  void GiveUp(Host* host, unsigned choice) {
    const RequestId request = Pick(
        *host, choice, [](const SendState& send) { return !send.running; });
    if (request == 0)
      return;
    std::vector<ClaimAction> actions;
    const size_t key = host->open[request].key;
    host->open.erase(request);
    Tell(key, host->table->OnAbandoned(request, ResultCode::kQueueFull, now_,
                                       &actions));
    ActAll(host, actions);
  }

  void Advance(std::chrono::milliseconds step) {
    now_ += step;
    wall_ += step;
    for (Host& host : hosts_)
      host.table->OnTick(now_);
    // Every attempt arrives within the maximum network delay.
    while (!pending_.empty() &&
           now_ - pending_.front().made > kMaxNetworkDelay) {
      const Pending first = pending_.front();
      pending_.pop_front();
      Arrive(&hosts_[first.host], first.send);
    }
  }

  Host hosts_[kHosts];
  std::vector<KeyState> keys_;
  /// Indexed by offset; offset 0 is not used.
  std::vector<ClaimRecord> log_{kFirstOffset};
  std::deque<ClaimBatch> delayed_;
  std::deque<Pending> pending_;
  size_t retained_ = kFirstOffset;
  uint64_t clock_ = 0;
  uint64_t incarnation_ = 0;
  RequestId last_request_ = 0;
  TimePoint now_;
  WallTime wall_ = kStart;
};

}  // namespace

TEST_CASE("no key runs twice, and a report that it did not run stays true") {
  rc::prop("under random faults and races", [] {
    const auto below = [](unsigned bound) {
      return rc::gen::resize(100, rc::gen::inRange(0u, bound));
    };
    const auto step =
        rc::gen::construct<Step>(below(15), below(kHosts), below(6));
    const auto steps = *rc::gen::scale(
        kStepsPerSize, rc::gen::container<std::vector<Step>>(step));
    World world;
    for (const Step& next : steps)
      world.Run(next);
  });
}

}  // namespace teaselhill::claims
