/// \file
/// Continuous batching of a stand-in engine.

#include "teaselhill/standin/engine_batch.h"

#include <algorithm>
#include <cmath>

namespace teaselhill::standin {

namespace {
/// Upper limit for the elapsed time that one step accounts for. It keeps an
/// engine from producing all overdue tokens at once after a freeze.
constexpr Duration kMaxStepDuration = std::chrono::milliseconds(100);
}  // namespace

EngineBatch::RunNumber EngineBatch::Submit(RunSpec spec,
                                           std::shared_ptr<RunSink> sink) {
  Run run;
  run.number = ++last_number_;
  run.produced = std::min<size_t>(spec.resume_offset, spec.answer.size());
  run.sink = std::move(sink);
  const int priority = spec.priority;
  run.spec = std::move(spec);
  waiting_.emplace(std::make_pair(priority, run.number), std::move(run));
  return last_number_;
}

void EngineBatch::Drop(RunNumber number) {
  for (auto entry = waiting_.begin(); entry != waiting_.end(); ++entry) {
    if (entry->second.number == number) {
      waiting_.erase(entry);
      return;
    }
  }
  // Only mark the run as ended; the next step removes it. Drop() may be called
  // from within a step, while `running_` is being iterated.
  for (const auto& run : running_) {
    if (run->number == number && !run->ended)
      End(*run, RunEnd::kCancelled);
  }
}

bool EngineBatch::Cancel(const std::string& request_id) {
  std::vector<Run> cancelled;
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    if (entry->second.spec.request_id == request_id) {
      cancelled.push_back(std::move(entry->second));
      entry = waiting_.erase(entry);
    } else {
      ++entry;
    }
  }
  for (Run& run : cancelled)
    run.sink->OnCancelled(run.spec);
  bool found = !cancelled.empty();
  for (const auto& run : running_) {
    if (run->spec.request_id != request_id || run->ended)
      continue;
    found = true;
    End(*run, RunEnd::kCancelled);
    run->sink->OnCancelled(run->spec);
  }
  return found;
}

void EngineBatch::Step(TimePoint now, double slow_factor) {
  const Duration elapsed = std::min(now - last_step_, kMaxStepDuration);
  last_step_ = now;
  RemoveEnded();
  StartWaiting(now);
  Prefill(elapsed, slow_factor, now);
  Decode(elapsed, slow_factor);
  RemoveEnded();
}

void EngineBatch::StartWaiting(TimePoint now) {
  while (running_.size() < config_.max_batch && !waiting_.empty()) {
    auto run = std::make_unique<Run>(std::move(waiting_.begin()->second));
    waiting_.erase(waiting_.begin());
    run->journal_run = journal_.Begin(run->spec.request_id, run->spec.key,
                                      run->spec.model, now);
    if (start_hook_)
      start_hook_(run->spec);
    // A resumed answer also requires a prefill of the answer tokens that it
    // skips.
    const uint32_t cached = cache_.Match(run->spec.blocks);
    run->prefill_left = run->spec.prompt_tokens -
                        std::min(cached, run->spec.prompt_tokens) +
                        run->produced;
    journal_.AddPrefill(static_cast<uint64_t>(run->prefill_left));
    running_.push_back(std::move(run));
  }
}

void EngineBatch::Prefill(Duration elapsed, double slow_factor, TimePoint now) {
  double budget =
      config_.prefill_tokens_per_second * ToSeconds(elapsed) / slow_factor;
  for (const auto& run : running_) {
    if (run->ended || run->prefill_left <= 0)
      continue;
    const double done = std::min(budget, run->prefill_left);
    budget -= done;
    run->prefill_left -= done;
    if (run->prefill_left <= 0)
      cache_.Store(run->spec.blocks, now);
  }
}

void EngineBatch::Decode(Duration elapsed, double slow_factor) {
  const double batch = static_cast<double>(running_.size());
  const double interval = ToSeconds(config_.token_time) * slow_factor *
                          (1 + config_.batch_slowdown * (batch - 1));
  const double due =
      interval > 0 ? ToSeconds(elapsed) / interval : config_.max_step_tokens;
  for (const auto& run : running_) {
    if (run->ended || run->prefill_left > 0)
      continue;
    run->tokens_due =
        std::min<double>(run->tokens_due + due, config_.max_step_tokens);
    const size_t left = run->spec.answer.size() - run->produced;
    const size_t count = std::min(static_cast<size_t>(run->tokens_due), left);
    if (count > 0) {
      run->tokens_due -= static_cast<double>(count);
      const size_t first = run->produced;
      run->produced += count;
      tokens_total_ += count;
      journal_.AddTokens(run->journal_run, count);
      run->sink->OnTokens(run->spec, first, count);
    }
    if (run->produced == run->spec.answer.size() && !run->ended) {
      End(*run, RunEnd::kFinished);
      run->sink->OnFinished(run->spec);
    }
  }
}

void EngineBatch::End(Run& run, RunEnd end) {
  run.ended = true;
  journal_.End(run.journal_run, end);
}

void EngineBatch::RemoveEnded() {
  running_.erase(std::remove_if(running_.begin(), running_.end(),
                                [](const auto& run) { return run->ended; }),
                 running_.end());
}

const RunSpec* EngineBatch::Find(const std::string& request_id) const {
  for (const auto& run : running_) {
    if (run->spec.request_id == request_id && !run->ended)
      return &run->spec;
  }
  return nullptr;
}

}  // namespace teaselhill::standin
