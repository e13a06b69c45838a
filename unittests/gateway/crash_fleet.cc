/// \file
/// Runs a simulated fleet whose engines crash.

#include "crash_fleet.h"

#include <algorithm>
#include <iterator>

namespace teaselhill::gateway::crash_fleet {

Fleet::Fleet(const FleetOptions& options, uint64_t seed)
    : options_(options), rng_(seed), engines_(options.engines) {
  for (int i = 0; i < options.hosts; ++i)
    hosts_.emplace_back(rng_.Next());
}

void Fleet::Run() {
  crashing_.resize(static_cast<size_t>(options_.crashing_requests));
  for (CrashingRequest& crashing : crashing_) {
    for (int sender = 0; sender < options_.senders; ++sender)
      crashing.next_at.push_back(now_ + options_.crashing_from +
                                 sender * kSenderStagger);
  }
  for (; now_ - TimePoint{} < kDuration; now_ += kStep) {
    if (rng_.Uniform() < options_.requests_per_second * ToSeconds(kStep))
      SendInnocent();
    for (uint64_t i = 0; i < crashing_.size(); ++i)
      SendCrashing(i);
    EndHolds();
    EndAttempts();
    Retry();
    SendProbes();
    Deliver();
    Restart();
    CrashByItself();
  }
}

void Fleet::SendInnocent() {
  ++innocent_requests;
  Send({RandomHost(), RandomRequest(), 1, now_});
}

void Fleet::SendCrashing(uint64_t number) {
  for (TimePoint& next_at : crashing_[number].next_at) {
    if (now_ < next_at)
      continue;
    Send({RandomHost(), NextCrashing(number), 1, now_});
    next_at = now_ + RandomTime(options_.min_pause, options_.max_pause);
  }
}

int Fleet::CrashesToCount() const {
  return options_.by_part ? kCrashesOfPart : kCrashesOfRequest;
}

Duration Fleet::RandomTime(milliseconds min, milliseconds max) {
  return FromSeconds(ToSeconds(min) + rng_.Uniform() * ToSeconds(max - min));
}

uint64_t Fleet::RandomNumber(uint64_t end) {
  return static_cast<uint64_t>(rng_.Uniform() * static_cast<double>(end));
}

std::vector<CrashKey> Fleet::RandomParts() {
  return {PromptPartKey(RandomNumber(kPopularParts)),
          PromptPartKey(kSubjectBase + RandomNumber(kSubjects))};
}

CrashKeys Fleet::NextCrashing(uint64_t number) {
  if (!options_.by_part)
    return Hash128{kCrashing, number};
  std::vector<CrashKey> parts = RandomParts();
  parts.push_back(PromptPartKey(kCrashingBase + number));
  const Hash128 id{kCrashing, ++last_request_ * (kCauseMask + 1) + number};
  return {id, parts, RandomTeam()};
}

CrashKeys Fleet::RandomRequest() {
  if (rng_.Uniform() < options_.popular_part)
    return Hash128{kPopular, RandomNumber(kPopularRequests)};
  const Hash128 id{kUnique, ++last_request_};
  if (!options_.by_part)
    return id;
  return {id, RandomParts(), RandomTeam()};
}

bool Fleet::IsCrashing(const CrashKeys& id) {
  return id.fingerprint.high == kCrashing;
}

Fleet::CrashingRequest& Fleet::CauseOf(const CrashKeys& id) {
  return crashing_[id.fingerprint.low & kCauseMask];
}

bool Fleet::Hold(const Request& request, const CrashAssessment& assessment) {
  Duration hold = assessment.hold_for;
  const bool copy_runs =
      std::any_of(attempts_.begin(), attempts_.end(), [&](const Attempt& a) {
        return a.host == request.host &&
               std::any_of(a.isolated_keys.begin(), a.isolated_keys.end(),
                           [&](const CrashKey& key) {
                             return request.id.Contains(key);
                           });
      });
  if (hold == Duration::zero() && copy_runs)
    hold = kTrialCheckPeriod;
  if (hold == Duration::zero() && assessment.is_trial &&
      !hosts_[request.host].trial_queue.TryStart(now_))
    hold = kTrialCheckPeriod;
  if (hold == Duration::zero())
    return false;
  if (now_ + hold < request.arrived_at + kDeadline)
    held_.push_back({now_ + hold, request});
  else if (!IsCrashing(request.id))
    ++innocent_expiries;
  return true;
}

void Fleet::Isolate(const Request& request, std::vector<int>* usable) const {
  std::vector<int> apart;
  for (int engine : *usable) {
    const bool busy = std::any_of(
        attempts_.begin(), attempts_.end(), [&](const Attempt& attempt) {
          return attempt.host == request.host && attempt.engine == engine &&
                 attempt.suspected_crashes > 1;
        });
    if (!busy)
      apart.push_back(engine);
  }
  if (!apart.empty())
    *usable = std::move(apart);
}

void Fleet::EndHolds() {
  std::list<HeldRequest> held;
  held.swap(held_);
  for (const HeldRequest& each : held) {
    if (each.until > now_)
      held_.push_back(each);
    else
      Send(each.request);
  }
}

void Fleet::Send(const Request& request) {
  const CrashAssessment assessment =
      hosts_[request.host].history.Assess(request.id, now_);
  if (assessment.refused_for > Duration::zero()) {
    innocent_refusals += IsCrashing(request.id) ? 0 : 1;
    return;
  }
  if (Hold(request, assessment))
    return;
  std::vector<int> usable;
  for (int i = 0; i < options_.engines; ++i) {
    if (engines_[i].up_at <= now_ || options_.accepts_when_down)
      usable.push_back(i);
  }
  if (usable.empty())
    return;
  Isolate(request, &usable);
  Attempt attempt;
  attempt.host = request.host;
  attempt.request = request.id;
  attempt.number = request.attempt;
  attempt.arrived_at = request.arrived_at;
  attempt.suspected_crashes = assessment.suspected_crashes;
  attempt.is_trial = assessment.is_trial;
  attempt.isolated_keys = assessment.isolated_keys;
  attempt.engine = usable[static_cast<size_t>(rng_.Uniform() * usable.size())];
  const Engine& engine = engines_[attempt.engine];
  attempt.incarnation = engine.incarnation;
  attempt.sent_at = now_;
  if (attempt.is_trial)
    hosts_[request.host].trial_queue.OnTrialStarted();
  if (engine.up_at > now_)
    return Lose(attempt,
                {"e" + std::to_string(attempt.engine), engine.incarnation - 1});
  if (IsCrashing(request.id)) {
    CrashingRequest& crashing = CauseOf(request.id);
    crashing.late_sends += crashing.crashes >= CrashesToCount() &&
                           now_ > crashing.counted_crash_at + kContact;
  }
  attempt.answer_at = now_ + RandomTime(milliseconds(20), milliseconds(300));
  attempt.ends_at =
      IsCrashing(request.id)
          ? now_ + options_.crash_delay +
                RandomTime(milliseconds(1), options_.max_queueing)
          : attempt.answer_at + RandomTime(milliseconds(0), milliseconds(3000));
  attempts_.push_back(attempt);
}

void Fleet::EndAttempts() {
  std::vector<Attempt> ended;
  for (auto it = attempts_.begin(); it != attempts_.end();) {
    if (it->ends_at > now_) {
      ++it;
      continue;
    }
    ended.push_back(*it);
    it = attempts_.erase(it);
  }
  for (const Attempt& attempt : ended) {
    const Engine& engine = engines_[attempt.engine];
    const bool running =
        engine.incarnation == attempt.incarnation && engine.up_at <= now_;
    if (IsCrashing(attempt.request) && running)
      Crash(attempt);
    else if (running)
      Answer(attempt);
  }
}

void Fleet::Answer(const Attempt& attempt) {
  Host& host = hosts_[attempt.host];
  host.history.OnAnswerCompleted(attempt.request);
  if (attempt.is_trial)
    host.trial_queue.OnTrialEnded();
}

void Fleet::CrashByItself() {
  if (options_.crash_period == milliseconds::zero() ||
      rng_.Uniform() > ToSeconds(kStep) / ToSeconds(options_.crash_period))
    return;
  const int engine = static_cast<int>(RandomNumber(engines_.size()));
  if (engines_[engine].up_at <= now_)
    CrashEngine(engine, {});
}

void Fleet::Crash(const Attempt& cause) {
  CrashingRequest& crashing = CauseOf(cause.request);
  if (++crashing.crashes == CrashesToCount())
    crashing.counted_crash_at = now_;
  CrashEngine(cause.engine, {cause});
}

void Fleet::CrashEngine(int number, std::vector<Attempt> lost) {
  Engine& engine = engines_[number];
  for (auto it = attempts_.begin(); it != attempts_.end();) {
    if (it->engine != number) {
      ++it;
      continue;
    }
    lost.push_back(*it);
    it = attempts_.erase(it);
  }
  const UpstreamProcess process{"e" + std::to_string(number),
                                engine.incarnation};
  ++engine.incarnation;
  engine.up_at = now_ + RandomTime(options_.min_down, options_.max_down);
  for (const Attempt& attempt : lost)
    Lose(attempt, process);
}

void Fleet::Lose(const Attempt& attempt, const UpstreamProcess& process) {
  CrashHistory& history = hosts_[attempt.host].history;
  if (attempt.is_trial) {
    hosts_[attempt.host].trial_queue.OnTrialLost(now_);
    hosts_[attempt.host].trial_queue.OnTrialEnded();
  }
  const Duration answering_for =
      std::max(Duration::zero(), Duration(now_ - attempt.answer_at));
  const LostProcess lost{attempt.host, process};
  const auto [first_loss, is_first] = lost_processes_.emplace(lost, now_);
  if (is_first || attempt.sent_at <= first_loss->second)
    history.OnConnectionLost(attempt.request, process, answering_for,
                             /*seen_alive_at=*/TimePoint{}, attempt.sent_at,
                             now_);
  probes_.push_back({attempt.host, process, now_ + kProbeDelay});
  if (attempt.number < kMaxAttempts)
    retries_.push_back({attempt.host, attempt.request, attempt.number + 1,
                        attempt.arrived_at});
}

void Fleet::Retry() {
  std::vector<Request> retries;
  retries.swap(retries_);
  for (const Request& request : retries)
    Send(request);
}

void Fleet::SendProbes() {
  for (auto it = probes_.begin(); it != probes_.end();) {
    if (it->at > now_) {
      ++it;
      continue;
    }
    hosts_[it->host].history.OnVerdict(
        {it->upstream, /*crashed=*/true, TimePoint::min(), now_, "test"});
    hosts_[it->host].trial_queue.OnVerdict();
    it = probes_.erase(it);
  }
}

void Fleet::Deliver() {
  for (Host& host : hosts_) {
    host.trial_queue.Expire(now_);
    LogEntry entry;
    entry.shared_at = now_;
    entry.records = host.history.TakeRecords(now_);
    entry.claims = host.trial_queue.TakeClaims();
    if (!entry.records.empty() || !entry.claims.empty())
      log_.push_back(std::move(entry));
  }
  for (Host& host : hosts_) {
    if (now_ < host.next_read_at)
      continue;
    for (; host.read_entries < log_.size(); ++host.read_entries)
      Read(host, log_[host.read_entries]);
    host.next_read_at =
        now_ + RandomTime(milliseconds(5), options_.max_record_delay);
  }
}

void Fleet::Read(Host& host, const LogEntry& entry) {
  std::vector<CrashRecord> records = entry.records;
  for (CrashRecord& record : records)
    record.age += now_ - entry.shared_at;
  host.history.OnRecords(records, now_);
  std::vector<TrialClaim> claims = entry.claims;
  for (TrialClaim& claim : claims)
    claim.age += now_ - entry.shared_at;
  host.trial_queue.OnClaims(claims, now_);
}

void Fleet::Restart() {
  if (options_.restart_period == milliseconds::zero() ||
      rng_.Uniform() > ToSeconds(kStep) / ToSeconds(options_.restart_period))
    return;
  const int host = RandomHost();
  hosts_[host] = Host(rng_.Next());
  attempts_.remove_if([&](const Attempt& a) { return a.host == host; });
  probes_.remove_if([&](const Probe& probe) { return probe.host == host; });
  held_.remove_if(
      [&](const HeldRequest& held) { return held.request.host == host; });
  for (auto it = lost_processes_.begin(); it != lost_processes_.end();)
    it = it->first.first == host ? lost_processes_.erase(it) : std::next(it);
}

}  // namespace teaselhill::gateway::crash_fleet
