/// \file
/// Continuous batching of a stand-in engine. The caller drives it in steps.

#ifndef TEASELHILL_STANDIN_ENGINE_BATCH_H_
#define TEASELHILL_STANDIN_ENGINE_BATCH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "teaselhill/standin/answer.h"
#include "teaselhill/standin/journal.h"
#include "teaselhill/standin/prefix_cache.h"
#include "teaselhill/support/time.h"

namespace teaselhill::standin {

struct BatchConfig {
  uint32_t max_batch = 16;
  /// Time per token of a stream that runs alone. Zero emits `max_step_tokens`
  /// tokens in each step.
  Duration token_time = std::chrono::milliseconds(20);
  /// Increase of the time per token for each additional stream, as a fraction
  /// of `token_time`.
  double batch_slowdown = 0.03;
  double prefill_tokens_per_second = 20000;
  /// Maximum number of tokens that one stream emits in one step.
  uint32_t max_step_tokens = 32;
};

/// One request to the batch.
struct RunSpec {
  std::string request_id;
  std::string key;
  std::string model;
  int priority = 5;  ///< 0 is most urgent
  std::string prompt;
  std::vector<PrefixBlock> blocks;
  uint32_t prompt_tokens = 0;
  std::vector<std::string> answer;
  uint32_t resume_offset = 0;  ///< answer tokens to skip
};

/// Receives the output of one run.
class RunSink {
 public:
  virtual ~RunSink() = default;
  /// Tokens [first, first + count) of the answer have been produced.
  virtual void OnTokens(const RunSpec& run, size_t first, size_t count) = 0;
  virtual void OnFinished(const RunSpec& run) = 0;
  /// The run was cancelled through EngineBatch::Cancel().
  virtual void OnCancelled(const RunSpec& run) = 0;
};

class EngineBatch {
 public:
  using RunNumber = uint64_t;
  using StartHook = std::function<void(const RunSpec&)>;

  EngineBatch(BatchConfig config, PrefixCache& cache, Journal& journal)
      : config_(config), cache_(cache), journal_(journal) {}

  /// Sets the function that is called after a run was taken from the waiting
  /// queue and recorded in the journal.
  void SetStartHook(StartHook hook) { start_hook_ = std::move(hook); }

  RunNumber Submit(RunSpec spec, std::shared_ptr<RunSink> sink);

  /// Removes a waiting request or cancels a running one without calling its
  /// sink.
  void Drop(RunNumber number);

  /// Cancels all waiting and running requests with `request_id` and calls
  /// OnCancelled() of their sinks. Returns false if there is no such request.
  bool Cancel(const std::string& request_id);

  /// Starts waiting requests and produces the tokens due since the last step.
  /// `slow_factor` multiplies all processing times.
  void Step(TimePoint now, double slow_factor);

  size_t running() const { return running_.size(); }
  size_t waiting() const { return waiting_.size(); }
  uint64_t tokens_total() const { return tokens_total_; }

  /// Returns the running request with `request_id`, or null.
  const RunSpec* Find(const std::string& request_id) const;

 private:
  struct Run {
    RunNumber number = 0;
    RunSpec spec;
    std::shared_ptr<RunSink> sink;
    Journal::Handle journal_run = 0;
    double prefill_left = 0;
    double tokens_due = 0;  ///< tokens due but not emitted, with a fraction
    size_t produced = 0;
    bool ended = false;
  };

  void StartWaiting(TimePoint now);
  void Prefill(Duration elapsed, double slow_factor, TimePoint now);
  void Decode(Duration elapsed, double slow_factor);
  void End(Run& run, RunEnd end);
  void RemoveEnded();

  BatchConfig config_;
  PrefixCache& cache_;
  Journal& journal_;
  StartHook start_hook_;
  RunNumber last_number_ = 0;
  std::map<std::pair<int, RunNumber>, Run> waiting_;
  std::vector<std::unique_ptr<Run>> running_;
  TimePoint last_step_{};
  uint64_t tokens_total_ = 0;
};

}  // namespace teaselhill::standin

#endif  // TEASELHILL_STANDIN_ENGINE_BATCH_H_
